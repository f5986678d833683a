//! Tests of nodes on the users' platform: requests that are not answered yet late in a planned stop.
//!
//! The nodes of these tests have a grace of 6 s. Each of the callers' requests must be answered, with
//! the truth, before its connection ends; only a stream whose response has begun may be cut.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cuminlb_standins::Fault;
use http::StatusCode;
use tokio::time::sleep;

use crate::answering_site::{
    ANSWERING, LOOKUP, RESERVE, STREAM, put_answering_catalog, send, wait_rows_read,
};
use crate::answering_worker::{Answer, AnsweringWorker, WorkerRequest};
use crate::raw_caller::request_head;
use crate::stopping_site::{
    GRACE, KNOWN_AT_ONCE, LAST_SIXTH, LONG_WORK, NEVER, StoppingSite, answer_after,
    long_stream_and_work, request_with_body, reset_after, stream_over,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_follows_a_stream_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(long_stream_and_work).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        let mut caller = site.connect().await;
        let stream = request_with_body(STREAM, &format!("stream-{path}"), "");
        caller.write(stream).await.unwrap();
        callers.push((path, caller));
    }
    sleep(Duration::from_millis(200)).await;
    site.stop();
    for (path, caller) in &mut callers {
        assert_eq!(site.read_in_time(caller).await.status, 200);
        let next = request_with_body(path, &format!("next-{path}"), "");
        caller.write(next).await.unwrap();
    }
    for (path, caller) in &mut callers {
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("next-{path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_the_buffer_behind_a_stream_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(long_stream_and_work).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        let mut caller = site.connect().await;
        let stream = request_with_body(STREAM, &format!("stream-{path}"), "");
        let next = request_with_body(path, &format!("next-{path}"), "body");
        caller.write(stream + &next).await.unwrap();
        callers.push((path, caller));
    }
    sleep(Duration::from_millis(200)).await;
    site.stop();
    for (path, caller) in &mut callers {
        assert_eq!(site.read_in_time(caller).await.status, 200);
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("next-{path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_follows_a_stream_early_enough_is_served() {
    let mut site = StoppingSite::start(|request| {
        if request.id == "stream" {
            stream_over(Duration::from_millis(3_800))
        } else {
            answer_after(Duration::from_millis(20))
        }
    })
    .await;
    let mut caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    caller.write(stream).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    site.stop();
    assert_eq!(site.read_in_time(&mut caller).await.status, 200);
    let next = request_with_body(RESERVE, "next", "");
    caller.write(next).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    assert_eq!(response.status, 200);
    assert!(response.head.contains("connection: close"), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_ends_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(|_| answer_after(LONG_WORK)).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        callers.push((path, site.connect().await));
    }
    site.stop();
    site.wait_until(Duration::from_millis(1_500)).await;
    for (path, caller) in &mut callers {
        let rest = "content-length: 8\r\n\r\nhalf";
        let head = request_head("POST", path, &format!("slow-{path}"), rest);
        caller.write(head).await.unwrap();
    }
    site.wait_until(Duration::from_millis(5_100)).await;
    for (path, caller) in &mut callers {
        // A refusal may have come before.
        let _ = caller.write("half").await;
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("slow-{path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_end_is_refused_before_the_abort() {
    let mut site = StoppingSite::start(|_| answer_after(LONG_WORK)).await;
    let mut caller = site.connect().await;
    site.stop();
    site.wait_until(Duration::from_millis(2_500)).await;
    let head = request_head("POST", RESERVE, "endless", "content-length: 8\r\n\r\nhalf");
    caller.write(head).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    site.assert_not_run(&response, "endless");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_a_request_whose_body_does_not_end_comes_before_the_abort() {
    let mut site = StoppingSite::start(|_| answer_after(LONG_WORK)).await;
    let mut caller = site.connect().await;
    let mut stream_caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    stream_caller.write(stream).await.unwrap();
    site.stop();
    site.wait_until(Duration::from_millis(2_900)).await;
    let start = request_head("POST", "/nowhere/", "unknown", "content-length: 8\r\n");
    caller.write(start).await.unwrap();
    site.wait_until(Duration::from_millis(4_500)).await;
    caller.write("\r\nhalf").await.unwrap();
    assert_eq!(site.read_in_time(&mut caller).await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_an_instance_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(|request| {
        if request.id == "first" {
            return Answer::refusal(503, "retry-after: 4\r\n");
        }
        answer_after(LONG_WORK)
    })
    .await;
    put_answering_catalog(&site.site, 3, 7_000);
    site.site.wait_catalog(3).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        callers.push((path, site.connect().await));
    }
    let first = send(&site.site, RESERVE, "first").await.unwrap();
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    for (path, caller) in &mut callers {
        let waiting = request_with_body(path, &format!("waiting-{path}"), "");
        caller.write(waiting).await.unwrap();
    }
    sleep(Duration::from_millis(100)).await;
    site.stop();
    for (path, caller) in &mut callers {
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("waiting-{path}"));
        let elapsed = site.signaled_at.elapsed();
        assert!(elapsed < KNOWN_AT_ONCE, "{elapsed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_offered_again_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
    let _second =
        AnsweringWorker::start(&site.site.fleet, "k1", ANSWERING, |_| answer_after(NEVER)).await;
    wait_rows_read(&site.site).await;
    let mut caller = site.connect().await;
    site.stop();
    site.wait_until(Duration::from_millis(1_000)).await;
    let request = request_with_body(LOOKUP, "silent", "");
    caller.write(request).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    assert_eq!(response.status, 504, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_instance_fails_late_in_the_grace_is_served_by_another() {
    let respond = |failed: &Arc<AtomicUsize>| {
        let failed = Arc::clone(failed);
        move |request: &WorkerRequest| {
            let is_first = failed.fetch_add(1, Ordering::Relaxed) < 2;
            match (is_first, request.id.as_str()) {
                (true, "stream") => reset_after(Duration::from_millis(350)),
                (true, _) => reset_after(Duration::from_millis(2_100)),
                (false, "stream") => stream_over(Duration::ZERO),
                (false, _) => answer_after(Duration::ZERO),
            }
        }
    };
    let failed = Arc::new(AtomicUsize::new(0));
    let mut site = StoppingSite::start(respond(&failed)).await;
    let fleet = &site.site.fleet;
    let _second = AnsweringWorker::start(fleet, "k1", ANSWERING, respond(&failed)).await;
    wait_rows_read(&site.site).await;
    let mut callers = [site.connect().await, site.connect().await];
    site.stop();
    site.wait_until(Duration::from_millis(2_750)).await;
    for (caller, (path, id)) in callers
        .iter_mut()
        .zip([(STREAM, "stream"), (LOOKUP, "lookup")])
    {
        caller.write(request_with_body(path, id, "")).await.unwrap();
    }
    for caller in &mut callers {
        let response = site.read_in_time(caller).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_response_are_answered_before_the_abort() {
    let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        callers.push((path, site.connect().await));
    }
    for (path, caller) in &mut callers {
        let request = request_with_body(path, &format!("long-{path}"), "");
        caller.write(request).await.unwrap();
    }
    sleep(Duration::from_millis(100)).await;
    site.stop();
    for (path, caller) in &mut callers {
        let response = site.read_in_time(caller).await;
        assert_eq!(response.status, 504, "{response:?}");
        assert!(response.head.contains("connection: close"), "{response:?}");
        assert!(site.signaled_at.elapsed() >= LAST_SIXTH);
        assert_eq!(site.received(&format!("long-{path}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_begun_goes_on_into_the_last_sixth_of_the_grace() {
    let mut site = StoppingSite::start(|_| stream_over(NEVER)).await;
    let mut caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    caller.write(stream).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    assert!(caller.read_response().await.is_none());
    let cut_after = site.signaled_at.elapsed();
    assert!(cut_after >= LAST_SIXTH, "{cut_after:?}");
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_store_is_silent_is_gone_before_the_grace_ends() {
    let mut site = StoppingSite::start(|_| stream_over(NEVER)).await;
    let mut caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    caller.write(stream).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.site.nodes[0].store.set_fault(Fault::Paused);
    site.stop();
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_comes_after_the_listener_has_closed_is_not_begun() {
    let mut site = StoppingSite::start(|request| {
        if request.id == "first" {
            stream_over(Duration::from_millis(3_500))
        } else {
            stream_over(NEVER)
        }
    })
    .await;
    let mut caller = site.connect().await;
    let first = request_with_body(STREAM, "first", "");
    caller.write(first).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    assert_eq!(site.read_in_time(&mut caller).await.status, 200);
    let next = request_with_body(STREAM, "next", "");
    caller.write(next).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    site.assert_not_run(&response, "next");
}
