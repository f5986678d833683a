//! Tests of nodes on the users' platform: streams that break off, and where they are continued.

use std::time::Duration;

use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::scripted_worker::ScriptedWorker;
use crate::scripted_worker::Step::{self, Send, Wait};
use crate::silence_site::{RESUMABLE, SilenceSite};

/// The head of a stream, and parts of a stream of six events.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                           content-type: text/event-stream\r\n\r\n";
const EVENTS_1_TO_3: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const EVENTS_4_TO_6: &str = "id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n";

/// An instance that goes on after a silence, and breaks off in the middle of the next event.
const SILENT_THEN_BREAKING: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Wait(Duration::from_millis(1_500)),
    Send("id: 4\ndata: d\n\n"),
    Wait(Duration::from_millis(100)),
    Send("id: 5\ndata"),
];

/// An instance that continues a stream, but later than a silent instance goes on.
const CONTINUING_LATE: &[Step] = &[
    Send(STREAM_HEAD),
    Wait(Duration::from_millis(1_000)),
    Send(EVENTS_4_TO_6),
];

/// An instance that breaks off a stream without a silence before, and one that continues it.
const BREAKING_EARLY: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Wait(Duration::from_millis(200)),
    Send("id: 4\ndata"),
];
const CONTINUING: &[Step] = &[Send(STREAM_HEAD), Send(EVENTS_4_TO_6)];

/// When another instance appears: after the stream has broken off, and within the pause between two
/// events that its caller accepts.
const APPEARANCE: Duration = Duration::from_millis(350);

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_went_on_by_itself_moves_when_its_instance_breaks_off() {
    let site = SilenceSite::start(&[[Some(SILENT_THEN_BREAKING), Some(CONTINUING_LATE)]]).await;
    site.check_whole_streams(RESUMABLE).await;
    let requests = site.worker(1).requests();
    let resumed_after: Vec<_> = requests.iter().map(|request| request.last_event).collect();
    assert_eq!(resumed_after, [Some(3), Some(4)]);
}

/// An instance that falls silent for longer than a caller waits.
const STALLED: &[Step] = &[
    Send(STREAM_HEAD),
    Send(EVENTS_1_TO_3),
    Wait(Duration::from_secs(60)),
];

/// When another instance appears beside a silent one: just after the request could first have been
/// offered to it.
const APPEARANCE_BESIDE_SILENCE: Duration = Duration::from_millis(1_050);

/// Before the time at which the silence is reported once more.
const SECOND_REPORT: Duration = Duration::from_millis(1_700);

async fn start_late(site: &SilenceSite, appearance: Duration) -> ScriptedWorker {
    let entry = json!({
        "service": "scripted0", "zone": "zb", "version": "v1", "slots": 6, "state": "ready",
        "warmupRemainingMs": 0, "sequence": 1, "born": 1,
    });
    sleep(appearance).await;
    let fleet = &site.site.fleet;
    ScriptedWorker::start(fleet, "late", entry, "/scripted", Some(CONTINUING)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_offered_to_an_instance_as_soon_as_it_appears() {
    let site = SilenceSite::start(&[[Some(STALLED)]]).await;
    let late = start_late(&site, APPEARANCE_BESIDE_SILENCE);
    let streams = timeout(SECOND_REPORT, site.check_whole_streams(RESUMABLE));
    let (streams, _worker) = tokio::join!(streams, late);
    assert!(streams.is_ok(), "{}", site.site.nodes[0].process.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_waits_a_moment_for_another_instance() {
    let site = SilenceSite::start(&[[Some(BREAKING_EARLY)]]).await;
    let late = start_late(&site, APPEARANCE);
    let (_, _worker) = tokio::join!(site.check_whole_streams(RESUMABLE), late);
}
