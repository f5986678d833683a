//! Polling for a condition in tests.

use std::time::Duration;

use tokio::time::Instant;

use crate::SiteError;

/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The longest time to wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Polls a condition until it is met; `condition` describes it in the error.
///
/// # Errors
///
/// Returns [`SiteError::TimedOut`] if the condition is not met within a minute.
pub async fn wait_until(
    condition: &str,
    mut is_met: impl AsyncFnMut() -> bool,
) -> Result<(), SiteError> {
    let deadline = Instant::now() + TIMEOUT;
    while !is_met().await {
        if Instant::now() >= deadline {
            return Err(SiteError::TimedOut {
                condition: condition.to_owned(),
                timeout_s: TIMEOUT.as_secs(),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
