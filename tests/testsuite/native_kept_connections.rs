//! Tests of nodes on the users' platform: each request on a kept connection gets an answer, beside new
//! catalogs and instances that answer twice.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};

use crate::answering_site::{
    ANSWERING, LOOKUP, RESERVE, STREAM, answering_site, put_answering_catalog, wait_rows_read,
};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, WorkerRequest, complete_text};
use crate::native_site::NativeSite;
use crate::raw_caller::{RawCaller, request_head};

/// How long callers send, how many there are, and the seed of the first one.
const DURATION: Duration = Duration::from_secs(4);
const CALLERS: u64 = 16;
const SEED: u64 = 37;

/// The pause between two catalogs.
const CHANGE_PERIOD: Duration = Duration::from_millis(40);

/// Each such answer is followed by a copy of it.
const COPY_PERIOD: usize = 7;

/// The longest pause of a caller between two requests or two parts of a request.
const MAX_PAUSE_MS: u64 = 6;

const STREAM_TEXT: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                           content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
                           f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Answers a request, at times twice: in one packet with the answer, or a moment later.
fn answer_at_times_twice(request: &WorkerRequest) -> Answer {
    let text = if request.id.starts_with("stream") {
        STREAM_TEXT.to_owned()
    } else {
        complete_text(200, "", "done")
    };
    match request.number % COPY_PERIOD {
        0 => Answer::new(text.clone() + &text, AnswerEnd::Keep),
        1 => Answer::new(text.clone(), AnswerEnd::Keep).and_then(Duration::from_millis(2), text),
        _ => Answer::new(text, AnswerEnd::Keep),
    }
}

/// Sends requests on kept connections until `until`; returns the ids of those without an answer.
async fn call_until(site: &NativeSite, caller: u64, until: Instant) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(SEED + caller);
    let mut unanswered = Vec::new();
    let mut connection = RawCaller::connect(&site.nodes[0]).await;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let kinds = [
            ("lookup", LOOKUP),
            ("reserve", RESERVE),
            ("stream", STREAM),
            ("unknown", "/nowhere/"),
        ];
        let (kind, path) = kinds[random.random_range(0..kinds.len())];
        let id = format!("{kind}-{caller}-{number}");
        let head = request_head("POST", path, &id, "content-length: 8\r\n\r\nhalf");
        let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
        let is_sent = connection.write(head).await.is_ok();
        sleep(pause).await;
        let is_sent = is_sent && connection.write("half").await.is_ok();
        let response = connection.read_response().await;
        let is_closing = response
            .as_ref()
            .is_none_or(|response| response.head.contains("connection: close"));
        if response.is_none() || !is_sent {
            unanswered.push(id);
        }
        if is_closing {
            connection = RawCaller::connect(&site.nodes[0]).await;
        }
        sleep(pause).await;
    }
    unanswered
}

/// Guards against LOST: a request on a kept connection got neither an answer nor a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_new_catalogs_and_second_answers_are_answered() {
    let site = answering_site(1).await;
    let mut workers = Vec::new();
    for id in ["k0", "k1", "k2"] {
        let worker = AnsweringWorker::start(&site.fleet, id, ANSWERING, answer_at_times_twice);
        workers.push(worker.await);
    }
    wait_rows_read(&site).await;
    let until = Instant::now() + DURATION;
    let changes = async {
        let mut version = 3;
        while Instant::now() < until {
            put_answering_catalog(&site, version, 500);
            version += 1;
            sleep(CHANGE_PERIOD).await;
        }
        wait_until("the last catalog is in force", async || {
            site.metric(0, "cuminlb_catalog_version").await == version - 1
        })
        .await
        .unwrap();
    };
    let callers = (0..CALLERS).map(|caller| call_until(&site, caller, until));
    let (unanswered, ()) = tokio::join!(join_all(callers), changes);
    assert_eq!(unanswered.concat(), Vec::<String>::new());
}
