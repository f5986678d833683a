//! Tests of nodes on the users' platform: a grace that changes before or during a planned stop.

use std::time::Duration;

use tokio::time::sleep;

use crate::answering_site::RESERVE;
use crate::stopping_site::{
    GRACE, NEVER, StoppingSite, answer_after, change_grace, request_with_body, write_grace,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_grace_in_newer_settings_holds_at_a_stop() {
    let mut site = StoppingSite::start(|_| answer_after(Duration::from_millis(7_000))).await;
    change_grace(&site, "12s").await;
    let mut caller = site.connect().await;
    let request = request_with_body(RESERVE, "long", "");
    caller.write(request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grace_that_was_written_just_before_the_signal_holds() {
    let mut site = StoppingSite::start(|_| answer_after(Duration::from_millis(7_000))).await;
    let mut caller = site.connect().await;
    let request = request_with_body(RESERVE, "long", "");
    caller.write(request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    write_grace(&site, "12s");
    site.stop();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grace_that_grows_after_the_signal_does_not_delay_the_end() {
    let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
    let mut caller = site.connect().await;
    let request = request_with_body(RESERVE, "long", "");
    caller.write(request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    // What is written while the signal is on its way may hold.
    site.wait_until(Duration::from_millis(300)).await;
    change_grace(&site, "12s").await;
    assert_eq!(site.read_in_time(&mut caller).await.status, 504);
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shorter_grace_in_newer_settings_holds_at_a_stop() {
    for (grace, grace_ms) in [("4s", 4_000), ("2s", 2_000)] {
        let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
        change_grace(&site, grace).await;
        let mut caller = site.connect().await;
        let request = request_with_body(RESERVE, "long", "");
        caller.write(request).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        site.stop();
        assert_eq!(site.read_in_time(&mut caller).await.status, 504);
        let ended_after = site.wait_ended().await;
        assert!(
            ended_after < Duration::from_millis(grace_ms),
            "{ended_after:?}"
        );
    }
}
