//! Waits for a condition.

use std::time::Duration;

use tokio::time::Instant;

use crate::SiteError;

/// The pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(25);

/// The longest time that a condition is waited for.
const LIMIT: Duration = Duration::from_secs(60);

/// Looks at a condition until it holds.
///
/// # Errors
///
/// Returns [`SiteError::TimedOut`] when the condition does not hold within a minute.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Result<(), SiteError> {
    let deadline = Instant::now() + LIMIT;
    while !holds().await {
        if Instant::now() >= deadline {
            return Err(SiteError::TimedOut {
                what: what.to_owned(),
                seconds: LIMIT.as_secs(),
            });
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}
