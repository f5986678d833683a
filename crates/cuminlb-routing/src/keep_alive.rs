//! How long callers may keep a connection idle before they use it again.

use std::time::Duration;

/// The time that a request may take to arrive, which a caller's idle time must leave.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);

/// Returns the time in whole seconds for which callers may keep a connection idle; `None` if it is
/// less than a second.
///
/// A request that is sent as its connection is closed ends without a response. An idle connection
/// stays open for `idle_timeout`, and for `stop_delay` after the node was asked to stop, which may
/// be at any moment.
pub fn keep_alive_time(idle_timeout: Duration, stop_delay: Duration) -> Option<Duration> {
    let open_time = idle_timeout.min(stop_delay);
    let seconds = open_time.saturating_sub(ARRIVAL_MARGIN).as_secs();
    (seconds > 0).then_some(Duration::from_secs(seconds))
}
