//! Waits for an instance that can take a request.

use cuminlb_routing::{Unavailability, WaitDecision};
use tokio::time::{Instant, sleep_until};

use super::choose_target::select_target;
use super::stream_attempts::StreamAttempts;
use super::target::Target;

/// Chooses an instance, or waits for one until a time or the deadline of the request.
///
/// # Errors
///
/// Returns [`Unavailability`] if no instance can take the request in that time.
pub(super) async fn wait_for_target(
    attempts: &mut StreamAttempts,
    until: Instant,
) -> Result<Target, Unavailability> {
    let StreamAttempts {
        gateway,
        request,
        decisions,
        ..
    } = attempts;
    let until = until.min(request.deadline.latest());
    let mut changes = gateway.knowledge.directory_changes();
    loop {
        if !gateway.has_way_to_instances() {
            return Err(Unavailability::default());
        }
        let unavailability = match select_target(gateway, request, decisions) {
            Ok(target) => return Ok(target),
            Err(unavailability) => unavailability,
        };
        let wake_at = match unavailability.decide(until) {
            WaitDecision::WaitUntil(until) => until,
            WaitDecision::WaitForChange if Instant::now() < until => until,
            WaitDecision::WaitForChange | WaitDecision::Refuse => return Err(unavailability),
        };
        tokio::select! {
            () = sleep_until(wake_at) => {}
            changed = changes.changed() => if changed.is_err() {
                return Err(unavailability);
            },
        }
    }
}
