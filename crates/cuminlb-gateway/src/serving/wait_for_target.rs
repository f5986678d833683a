//! Waits for an instance that can take a request.

use tokio::time::{Instant, sleep_until};

use super::choose_target::choose_target;
use super::stream_attempts::StreamAttempts;
use super::target::Target;

/// Chooses an instance, or waits for one until a time or the deadline of the request.
pub(super) async fn wait_for_target(
    attempts: &mut StreamAttempts,
    until: Instant,
) -> Option<Target> {
    let StreamAttempts {
        gateway,
        request,
        decisions,
        ..
    } = attempts;
    let until = until.min(request.deadline.latest());
    let choose = || choose_target(gateway, request, decisions);
    let mut changes = gateway.knowledge.directory_changes();
    loop {
        if let Some(target) = choose() {
            return Some(target);
        }
        tokio::select! {
            () = sleep_until(until) => return choose(),
            changed = changes.changed() => changed.ok()?,
        }
    }
}
