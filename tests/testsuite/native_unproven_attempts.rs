//! Tests of nodes on the users' platform: instances that are asked to continue a silent stream, and
//! send nothing that continues it.

use std::time::Duration;

use crate::scripted_worker::Step::{self, Send, Wait};
use crate::silence_site::{RESUMABLE, SilenceSite};

/// The head of a stream of six events, with any end and in chunks.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                           content-type: text/event-stream\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                            content-type: text/event-stream\r\n\
                            transfer-encoding: chunked\r\n\r\n";
const EVENTS_1_TO_3: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const EVENTS_4_TO_6: &str = "id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n";

/// A silence of an instance that goes on afterwards.
const SILENCE: Step = Wait(Duration::from_millis(1_500));

/// Longer than a caller waits.
const ENDLESS_SILENCE: Step = Wait(Duration::from_secs(60));

const SILENT_WITHIN: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    SILENCE,
    Send(EVENTS_4_TO_6),
];
const SILENT_AFTER_HEAD: &[Step] = &[
    Send(STREAM_HEAD),
    SILENCE,
    Send(EVENTS_1_TO_3),
    Send(EVENTS_4_TO_6),
];

const SILENT_BEFORE_HEAD: &[Step] = &[
    SILENCE,
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Send(EVENTS_4_TO_6),
];

/// An instance that fails to respond to the request.
const FAILING: &[Step] = &[Send(
    "HTTP/1.1 500 Internal Server Error\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
     content-length: 0\r\n\r\n",
)];

/// Streams that end without an event.
const EMPTY: &[Step] = &[Send(STREAM_HEAD)];
const EMPTY_CHUNKED: &[Step] = &[Send(CHUNKED_HEAD), Send("0\r\n\r\n")];

/// An instance that sends a comment, and nothing more.
const COMMENTING: &[Step] = &[Send(STREAM_HEAD), Send(": still here\n\n"), ENDLESS_SILENCE];

/// Instances that have sent the whole stream, and are silent before its end or break off there.
const SILENT_BEFORE_END: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Send(EVENTS_4_TO_6),
    ENDLESS_SILENCE,
];
const BREAKING_BEFORE_END: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Send(EVENTS_4_TO_6),
    SILENCE,
    Send(": en"),
];

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_ended_by_an_instance_that_sends_no_event() {
    let services = [
        [Some(SILENT_WITHIN), Some(EMPTY)],
        [Some(SILENT_WITHIN), Some(EMPTY_CHUNKED)],
        [Some(SILENT_AFTER_HEAD), Some(EMPTY)],
    ];
    let site = SilenceSite::start(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_ended_by_a_comment_of_another_instance() {
    let site = SilenceSite::start(&[[Some(SILENT_WITHIN), Some(COMMENTING)]]).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_further_event_ends_when_its_instance_breaks_off_or_the_time_is_over() {
    let services = [
        [Some(BREAKING_BEFORE_END), Some(EMPTY_CHUNKED)],
        [Some(SILENT_BEFORE_END), Some(EMPTY_CHUNKED)],
    ];
    let site = SilenceSite::start(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_stream_is_not_replaced_by_the_failure_of_another_instance() {
    let services = [
        [Some(SILENT_BEFORE_HEAD), Some(FAILING)],
        [Some(SILENT_WITHIN), Some(FAILING)],
    ];
    let site = SilenceSite::start(&services).await;
    site.check_whole_streams(RESUMABLE).await;
}

/// A stream of events without ids, with a silence and without one.
const SILENT_WITHOUT_IDS: &[Step] = &[
    Send(STREAM_HEAD),
    Send("data: a\n\n"),
    SILENCE,
    Send("data: b\n\n"),
];
const WITHOUT_IDS: &[Step] = &[Send(STREAM_HEAD), Send("data: a\n\ndata: b\n\n")];

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_events_without_ids_is_not_joined_with_that_of_another_instance() {
    let site = SilenceSite::start(&[[Some(SILENT_WITHOUT_IDS), Some(WITHOUT_IDS)]]).await;
    let response = site.send(0, RESUMABLE).await.unwrap();
    assert_eq!(response.text(), "data: a\n\ndata: b\n\n");
    assert_eq!(site.offers(0), 0);
}

/// An instance that sends nothing but the marker of the end.
const END_MARKER: &str = "data: [DONE]\n\n";
const MARKING_END: &[Step] = &[Send(STREAM_HEAD), Send(END_MARKER)];

#[tokio::test(flavor = "multi_thread")]
async fn the_end_marker_of_another_instance_ends_a_stream_that_breaks_off_after_its_last_event() {
    let site = SilenceSite::start(&[
        [Some(BREAKING_BEFORE_END), Some(MARKING_END)],
        [Some(SILENT_WITHIN), Some(MARKING_END)],
    ])
    .await;
    let response = site.send(0, RESUMABLE).await.unwrap();
    assert_eq!(
        response.text(),
        format!("{EVENTS_1_TO_3}{EVENTS_4_TO_6}{END_MARKER}")
    );
    let response = site.send(1, RESUMABLE).await.unwrap();
    assert_eq!(response.text(), format!("{EVENTS_1_TO_3}{EVENTS_4_TO_6}"));
}
