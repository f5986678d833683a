//! [`open_stream`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use cuminlb_upstream::EventDecoder;
use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use smol_str::format_smolstr;
use tokio::time::{Instant, sleep_until, timeout};

use super::answer_body::{AnswerBody, whole_body};
use super::ask::Ask;
use super::plain_exchange::{forwarded, not_sent};
use super::silence_watch::{Silence, SilenceWatch};
use super::stream_source::{StreamSource, silence_limit};
use super::target::Target;
use super::try_result::TryFailure;
use crate::gateway::Gateway;

/// How often a request that waits for its answer looks at how the instance does otherwise.
const LOOK_PERIOD: Duration = Duration::from_millis(30);

/// The largest answer that is kept whole where a stream was asked for.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// The time that an answer may take which is no stream.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// What an instance gave where a stream was asked for.
#[derive(Debug)]
pub(super) enum Opened {
    /// The stream, and the head of its answer.
    Stream(Box<StreamSource>, Box<response::Parts>),
    /// Another answer, whole.
    Other(Response<AnswerBody>),
}

/// Sends a request for a stream and waits until the answer begins; `is_last` where no other
/// instance may be tried after it.
pub(super) async fn open_stream(
    gateway: &Arc<Gateway>,
    ask: &Ask,
    target: Target,
    resume_after: Option<EventId>,
    is_last: bool,
) -> Result<Opened, TryFailure> {
    let in_flight = gateway.loads.begin(&target.instance);
    let mut connection = gateway
        .pool
        .connect(target.address)
        .await
        .map_err(not_sent)?;
    let sent_at = Instant::now();
    let request = forwarded(gateway, ask, &target, resume_after);
    let limit = silence_limit(ask, false);
    let mut watch = SilenceWatch::new(is_last);
    let answer = {
        let answer = connection.send(request);
        tokio::pin!(answer);
        loop {
            tokio::select! {
                biased;
                answered = timeout(LOOK_PERIOD, answer.as_mut()) => match answered {
                    Ok(answered) => break answered.map_err(not_sent)?,
                    Err(_elapsed) => match watch.look(&in_flight, sent_at, limit, target.epoch()) {
                        Silence::Usual => {}
                        Silence::Suspicious => gateway.suspect(ask, &target, sent_at),
                        Silence::TooLong => return Err(TryFailure::Silent),
                    },
                },
                () = sleep_until(ask.ends_at) => {
                    return Err(TryFailure::unknown("the time was over"));
                }
            }
        }
    };
    let (parts, body) = answer.into_parts();
    let wire = gateway.edges.wire.as_ref();
    let head = wire.read_response(&parts);
    if head.request.as_ref().is_some_and(|id| *id != ask.head.id) {
        return Err(TryFailure::unknown("the answer belongs to another request"));
    }
    let now = Instant::now();
    if head.is_not_executed {
        in_flight.load().note_refusal(now);
        let reason = format_smolstr!("refused with status {}", head.status);
        let has_arrived = true;
        // The connection is closed with the rest of the answer, which says nothing more.
        return Err(TryFailure::NotRun {
            reason,
            has_arrived,
        });
    }
    if !head.is_attested || head.is_encoded {
        return Err(TryFailure::unknown("the answer is not the instance's own"));
    }
    in_flight.note_progress(now);
    if parts.status == StatusCode::OK && head.is_event_stream {
        let source = StreamSource {
            target,
            head,
            in_flight,
            body,
            connection,
            decoder: EventDecoder::default(),
            heard_at: sent_at,
            has_begun: false,
            has_ended: false,
            watch: SilenceWatch::default(),
        };
        return Ok(Opened::Stream(Box::new(source), Box::new(parts)));
    }
    let body = timeout(
        FAILURE_BODY_TIMEOUT,
        Limited::new(body, MAX_FAILURE_BYTES).collect(),
    )
    .await;
    let body = body
        .map_err(|_elapsed| TryFailure::unknown("the answer did not end"))?
        .map_err(|error| TryFailure::unknown(format_smolstr!("the answer broke off: {error}")))?;
    let mut answer = Response::new(whole_body(body.to_bytes()));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = wire.response_headers(&parts);
    Ok(Opened::Other(answer))
}
