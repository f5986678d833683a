//! A suspension of the machine is noticed once, and a clock that drifts is none.

use std::time::Duration;

use cuminlb_fleet::lease::SuspensionWatch;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_suspension_between_two_observations_is_noticed() {
    let mut watch = SuspensionWatch::default();
    assert!(!watch.observe(SECOND * 100, SECOND * 90));
    assert!(watch.observe(SECOND * 105, SECOND * 91));
    assert!(!watch.observe(SECOND * 106, SECOND * 92));
}

#[test]
fn a_machine_that_runs_on_is_not_taken_for_suspended() {
    let mut watch = SuspensionWatch::default();
    for second in 0..1_000 {
        let drift = Duration::from_micros(u64::from(second));
        assert!(!watch.observe(SECOND * (10 + second) + drift, SECOND * second));
    }
}
