//! Real nodes on the users' platform: groups whose members, heads or leader fail.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::StatusCode;

use crate::native_site::{NativeSite, event_ids};

/// The work of a plain request in tests that do not look at it.
const SHORT: Duration = Duration::from_millis(5);

/// The events of a stream that lasts long enough for something to fail meanwhile.
const LONG_STREAM: &str = "200";

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_a_member_falls_silent() {
    let site = NativeSite::start(2, 5, SHORT).await;
    site.wait_serving().await;
    let streams = async {
        let long = (0..6).map(|number| {
            let site = &site;
            async move {
                site.stream(number % 2, &format!("s{number}"), LONG_STREAM)
                    .await
                    .unwrap()
            }
        });
        futures_util::future::join_all(long).await
    };
    let fault = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let head = site.open_head().unwrap();
        let member = site.member_beside(&head);
        site.fleet.engine(&member).unwrap().power_off();
    };
    let (answers, ()) = tokio::join!(streams, fault);
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(
            event_ids(answer),
            (1..=200).collect::<Vec<_>>(),
            "stream {number}"
        );
    }
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_holds_its_group_up_is_replaced() {
    let site = NativeSite::start(2, 5, SHORT).await;
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    let straggler = site.member_beside(&head);
    site.fleet.engine(&straggler).unwrap().set_slowdown(20.0);
    let streams = (0..4).map(|number| {
        let site = &site;
        async move {
            let answer = site.stream(number % 2, &format!("s{number}"), "40").await;
            event_ids(&answer.unwrap())
        }
    });
    for events in futures_util::future::join_all(streams).await {
        assert_eq!(events, (1..=40).collect::<Vec<_>>());
    }
    wait_until("a group serves without the straggler", async || {
        site.open_head()
            .is_some_and(|head| site.member_beside(&head) != straggler && head != straggler)
    })
    .await
    .unwrap();
    site.assert_no_violation();
}

/// Both groups are busy for longer than a request waits where another one may try.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_try_of_a_request_stays_with_a_busy_group() {
    let site = NativeSite::start(1, 4, SHORT).await;
    site.wait_serving().await;
    wait_until("two groups serve", async || {
        let engines = (0..4).map(|number| site.fleet.engine(&format!("e{number}")).unwrap());
        let open = engines.filter(|engine| engine.seat().is_some_and(|seat| seat.2 == "open"));
        open.count() == 2
    })
    .await
    .unwrap();
    for number in 0..4 {
        let engine = site.fleet.engine(&format!("e{number}")).unwrap();
        engine.set_slowdown(150.0);
    }
    let answer = site.stream(0, "busy", "1").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    assert_eq!(event_ids(&answer), [1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_is_formed_again_when_its_head_falls_silent() {
    let site = NativeSite::start(2, 3, SHORT).await;
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    site.fleet.engine(&head).unwrap().power_off();
    let answer = async || site.stream(1, "after", "5").await;
    wait_until("another head serves", async || {
        answer()
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    assert_ne!(site.open_head().unwrap(), head);
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_whose_entry_vanished_stays_while_it_answers() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    let before = site.fleet.engine(&head).unwrap().seat();
    let member = site.member_beside(&head);
    site.fleet.engine(&member).unwrap().remove_entry();
    let end = tokio::time::Instant::now() + Duration::from_secs(2);
    while tokio::time::Instant::now() < end {
        let answer = site.stream(0, "unlisted", "2").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(site.fleet.engine(&head).unwrap().seat(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_leads_after_the_leader_was_killed() {
    let mut site = NativeSite::start(3, 5, SHORT).await;
    site.wait_serving().await;
    let lease = || site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    let leader = lease()["holder"].as_str().unwrap().to_owned();
    let index: usize = leader[1..].parse::<usize>().unwrap() - 1;
    site.nodes[index].process.kill().await;
    let head = site.open_head().unwrap();
    let member = site.member_beside(&head);
    site.fleet.engine(&member).unwrap().power_off();
    let lease = || site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    wait_until("another node leads", async || {
        lease()["holder"] != leader.as_str()
    })
    .await
    .unwrap();
    let other = (index + 1) % 3;
    wait_until("a group serves again", async || {
        let answer = site.stream(other, "led", "5").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    site.assert_no_violation();
}
