//! Callers are told to use a connection only while it is certainly open.

use std::time::Duration;

use cuminlb_routing::keep_alive_time;
use proptest::prelude::*;

const STOP_DELAY: Duration = Duration::from_secs(3);

#[test]
fn a_connection_may_be_idle_for_less_than_a_stop_leaves_it_open() {
    let time = keep_alive_time(Duration::from_secs(15), STOP_DELAY);
    assert_eq!(time, Some(Duration::from_secs(2)));
}

#[test]
fn no_time_is_stated_if_connections_are_closed_too_soon() {
    assert_eq!(keep_alive_time(Duration::from_secs(1), STOP_DELAY), None);
}

proptest! {
    #[test]
    fn a_connection_that_is_used_in_time_is_still_open(idle_ms in 0..60_000_u64, stop_ms in 0..60_000_u64) {
        let idle_timeout = Duration::from_millis(idle_ms);
        let stop_delay = Duration::from_millis(stop_ms);
        if let Some(time) = keep_alive_time(idle_timeout, stop_delay) {
            prop_assert!(time < idle_timeout && time < stop_delay);
            prop_assert_eq!(time.subsec_nanos(), 0);
        }
    }
}
