//! Tests of nodes on the users' platform: instances that fall silent for a second or two and go on,
//! and other instances that continue the request or do not.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use tokio::time::sleep;

use crate::scripted_worker::Step::{self, Send, Wait};
use crate::silence_site::{ONCE, RESUMABLE, Script, SilenceSite};

/// The head of a stream, and parts of a stream of six events.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                           content-type: text/event-stream\r\n\r\n";
const EVENTS_1_TO_3: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const EVENTS_4_TO_6: &str = "id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n";

/// A silence of an instance that goes on afterwards: longer than that after which a request is
/// offered to another instance.
const SILENCE: Step = Wait(Duration::from_millis(1_500));

/// Longer than a caller waits.
const ENDLESS_SILENCE: Step = Wait(Duration::from_secs(60));

/// Instances that fall silent within a stream, or before its head, and go on.
const SILENT_WITHIN: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    SILENCE,
    Send(EVENTS_4_TO_6),
];
const SILENT_BEFORE_HEAD: &[Step] = &[
    SILENCE,
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Send(EVENTS_4_TO_6),
];
const SILENT_AFTER_HEAD: &[Step] = &[
    Send(STREAM_HEAD),
    SILENCE,
    Send(EVENTS_1_TO_3),
    Send(EVENTS_4_TO_6),
];

/// An instance that responds with a refusal of its own, and is silent within it.
const SILENT_WITHIN_REFUSAL: &[Step] = &[
    Send(
        "HTTP/1.1 404 Not Found\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
          content-length: 9\r\n\r\nno ",
    ),
    SILENCE,
    Send("answer"),
];

/// Instances that do not continue a stream after three events.
const REFUSING: &[Step] = &[Send(
    "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
)];
const SILENT: &[Step] = &[ENDLESS_SILENCE];
const SILENT_WITH_HEAD: &[Step] = &[Send(STREAM_HEAD), ENDLESS_SILENCE];
const BREAKING: &[Step] = &[
    Send(STREAM_HEAD),
    Wait(Duration::from_millis(100)),
    Send("id: 4\ndata"),
];

/// Instances that continue a stream after three events, late or at once.
const CONTINUING_LATE: &[Step] = &[
    Send(STREAM_HEAD),
    Wait(Duration::from_secs(3)),
    Send(EVENTS_4_TO_6),
];
const CONTINUING: &[Step] = &[
    Send(STREAM_HEAD),
    Wait(Duration::from_millis(50)),
    Send(EVENTS_4_TO_6),
];

/// An instance that responds at once, and one that falls silent within the stream for good.
const WHOLE: &[Step] = &[Send(STREAM_HEAD), Send(EVENTS_1_TO_3), Send(EVENTS_4_TO_6)];
const STALLED_WITHIN: &[Step] = &[Send(STREAM_HEAD), Send(EVENTS_1_TO_3), ENDLESS_SILENCE];

/// Returns services with an instance that falls silent, and another one that does not continue its stream:
/// it refuses the request or the connection, is silent as well, or breaks off.
fn beside_all_that_do_not_continue(first: &'static [Step]) -> [[Script; 2]; 5] {
    [
        [Some(first), Some(REFUSING)],
        [Some(first), None],
        [Some(first), Some(SILENT)],
        [Some(first), Some(SILENT_WITH_HEAD)],
        [Some(first), Some(BREAKING)],
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_lost_when_no_other_group_continues_it() {
    let services = beside_all_that_do_not_continue(SILENT_WITHIN);
    let site = SilenceSite::start(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_silent_after_its_head_is_not_lost() {
    let services = beside_all_that_do_not_continue(SILENT_AFTER_HEAD);
    let site = SilenceSite::start(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_response_begins_late_is_not_failed_when_no_other_group_responds() {
    let services = beside_all_that_do_not_continue(SILENT_BEFORE_HEAD);
    let site = SilenceSite::start(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_lost_while_a_new_catalog_is_written() {
    let services = beside_all_that_do_not_continue(SILENT_WITHIN);
    let site = SilenceSite::start(&services).await;
    let catalogs = async {
        for version in 3..7 {
            sleep(Duration::from_millis(300)).await;
            site.put_catalog(version);
        }
    };
    tokio::join!(site.check_whole_streams(RESUMABLE), catalogs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_lost_when_its_group_is_believed_lost() {
    let services = beside_all_that_do_not_continue(SILENT_WITHIN);
    let site = SilenceSite::start_groups(&services).await;
    site.check_whole_streams(RESUMABLE).await;
    site.wait_logged("silent head checked").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_failed_before_its_response_when_its_group_is_believed_lost() {
    let services = beside_all_that_do_not_continue(SILENT_BEFORE_HEAD);
    let site = SilenceSite::start_groups(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_lost_to_an_instance_that_repeats_its_events() {
    let site = SilenceSite::start(&[[Some(SILENT_WITHIN), Some(STALLED_WITHIN)]]).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_moves_when_another_group_continues_it() {
    let site = SilenceSite::start(&[[Some(STALLED_WITHIN), Some(CONTINUING)]]).await;
    site.check_whole_streams(RESUMABLE).await;
    site.worker(0).wait_left_alone().await;
    let requests = site.worker(1).requests();
    let resumed_after: Vec<_> = requests.iter().map(|request| request.last_event).collect();
    assert_eq!(resumed_after, [Some(3)]);
    site.wait_logged("\"stream moved\"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_offer_is_cancelled_when_the_silent_stream_goes_on() {
    let site = SilenceSite::start(&[[Some(SILENT_WITHIN), Some(CONTINUING_LATE)]]).await;
    site.check_whole_streams(RESUMABLE).await;
    site.worker(1).wait_left_alone().await;
    assert!(site.worker(1).requests()[0].was_cancelled);
    site.wait_logged("\"stream went on by itself\"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_response_is_served_by_another_group() {
    let site = SilenceSite::start(&[[Some(SILENT), Some(WHOLE)]]).await;
    site.check_whole_streams(RESUMABLE).await;
    site.worker(0).wait_left_alone().await;
    assert!(site.worker(0).requests()[0].was_cancelled);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_that_may_not_be_resumed_is_not_sent_again() {
    let services = [
        [Some(SILENT_WITHIN), Some(WHOLE)],
        [Some(SILENT_AFTER_HEAD), Some(WHOLE)],
        [Some(SILENT_BEFORE_HEAD), Some(WHOLE)],
    ];
    let sites = [
        SilenceSite::start(&services).await,
        SilenceSite::start_groups(&services).await,
    ];
    for site in sites {
        site.check_whole_streams(ONCE).await;
        assert_eq!([0, 1, 2].map(|service| site.offers(service)), [0, 0, 0]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_sent_to_more_instances_than_allowed() {
    let site = SilenceSite::start(&[
        [Some(SILENT_WITHIN), Some(SILENT), Some(SILENT)],
        [Some(SILENT_AFTER_HEAD), Some(SILENT), Some(SILENT)],
        [Some(SILENT_BEFORE_HEAD), Some(SILENT), Some(SILENT)],
    ])
    .await;
    site.check_whole_streams(RESUMABLE).await;
    assert_eq!([0, 1, 2].map(|service| site.offers(service)), [1, 1, 1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_no_stream_is_not_lost_when_it_is_silent() {
    let services = beside_all_that_do_not_continue(SILENT_WITHIN_REFUSAL);
    let site = SilenceSite::start(&services).await;
    for route in [RESUMABLE, ONCE] {
        let requests = (0..services.len()).map(|service| site.send(service, route));
        for response in join_all(requests).await {
            let response = response.unwrap();
            assert_eq!(response.status, StatusCode::NOT_FOUND, "{route}");
            assert_eq!(response.text(), "no answer");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_streams_are_neither_lost_nor_offered_beyond_the_retry_budget() {
    const STREAMS: usize = 60;
    let site = SilenceSite::start(&[[Some(SILENT_WITHIN)]]).await;
    let second = async {
        sleep(Duration::from_millis(300)).await;
        site.start_worker(0, 1, Some(SILENT)).await
    };
    let services = std::iter::repeat_n(0, STREAMS);
    let streams = site.check_whole_streams_of(services, RESUMABLE);
    let (second, ()) = tokio::join!(second, streams);
    let offered = second.requests().len();
    // A node alone has 0.6 of the 50 extra retries and 0.14 for each request.
    assert!((1..=38).contains(&offered), "{offered} streams offered");
    site.wait_logged("retry budget exhausted").await;
}
