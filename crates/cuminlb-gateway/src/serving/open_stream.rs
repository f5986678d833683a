//! One attempt to open an event stream on an instance.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use cuminlb_upstream::EventDecoder;
use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use smol_str::format_smolstr;
use tokio::time::{Instant, timeout};

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::plain_exchange::{forwarded_request, from_send_failure};
use super::response_body::{ResponseBody, full_body};
use super::silence_watch::{Silence, SilenceWatch};
use super::stream_source::{StreamSource, silence_limit};
use super::target::Target;
use crate::gateway::Gateway;
use crate::upstream::{Connection, ConnectionDeadline};

/// How often a request that waits for its response checks the silence of the instance.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_millis(30);

/// Size limit of a response that is buffered because it is not the requested stream.
const MAX_NON_STREAM_BYTES: usize = 1 << 20;

/// Timeout for the body of a response that is not a stream.
const NON_STREAM_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// The response of an instance to a request for a stream.
#[derive(Debug)]
pub(super) enum OpenedResponse {
    /// The stream and the head of its response.
    Stream(Box<StreamSource>, Box<response::Parts>),
    /// A complete response of another kind.
    Other(Response<ResponseBody>),
}

/// Sends a request for a stream and waits until the response begins. `is_last_attempt` is set if no
/// other instance may be tried afterwards.
pub(super) async fn open_stream(
    gateway: &Arc<Gateway>,
    request: &AdmittedRequest,
    target: Target,
    resume_after: Option<EventId>,
    is_last_attempt: bool,
) -> Result<OpenedResponse, AttemptFailure> {
    let in_flight = gateway.loads.start_request(&target.instance);
    let mut connection = gateway
        .pool
        .connect(target.address)
        .await
        .map_err(from_send_failure)?;
    let sent_at = Instant::now();
    let outgoing = forwarded_request(gateway, request, &target, resume_after);
    let limit = silence_limit(request, false);
    let mut watch = SilenceWatch::new(is_last_attempt);
    let response = {
        let response = connection.send(outgoing);
        tokio::pin!(response);
        loop {
            tokio::select! {
                biased;
                result = timeout(SILENCE_CHECK_PERIOD, response.as_mut()) => match result {
                    Ok(result) => break result.map_err(from_send_failure)?,
                    Err(_elapsed) if !request.is_probe && gateway.is_quarantined(request) => {
                        return Err(AttemptFailure::unknown("quarantined"));
                    }
                    Err(_elapsed) => match watch.check(&in_flight, sent_at, limit, target.epoch()) {
                        Silence::Normal => {}
                        Silence::Suspicious => gateway.suspect(request, &target, sent_at),
                        Silence::TooLong => return Err(AttemptFailure::Silent),
                    },
                },
                () = request.deadline.passed() => {
                    return Err(AttemptFailure::unknown("deadline exceeded"));
                }
            }
        }
    };
    let (parts, body) = response.into_parts();
    let wire = gateway.edges.wire.as_ref();
    let head = wire.read_response(&parts);
    if head
        .request
        .as_ref()
        .is_some_and(|id| *id != request.head.id)
    {
        return Err(AttemptFailure::unknown(
            "the response belongs to another request",
        ));
    }
    let now = Instant::now();
    if head.is_not_executed {
        in_flight.load().record_refusal(now);
        let reason = format_smolstr!("refused with status {}", head.status);
        let has_reached_instance = true;
        // Dropping the rest of the response closes the connection; it carries no further
        // information.
        return Err(AttemptFailure::NotRun {
            reason,
            has_reached_instance,
        });
    }
    if !head.is_attested || head.is_encoded {
        return Err(AttemptFailure::unknown(
            "the response lacks the instance's proof or was modified in transit",
        ));
    }
    in_flight.record_progress(now);
    if parts.status == StatusCode::OK && head.is_event_stream {
        let source = StreamSource {
            target,
            head,
            in_flight,
            body,
            deadline: close_at_deadline(&connection, request),
            connection,
            decoder: EventDecoder::default(),
            last_seen_at: sent_at,
            event_count: 0,
            has_ended: false,
            watch: SilenceWatch::default(),
        };
        return Ok(OpenedResponse::Stream(Box::new(source), Box::new(parts)));
    }
    let body = timeout(
        NON_STREAM_BODY_TIMEOUT,
        Limited::new(body, MAX_NON_STREAM_BYTES).collect(),
    )
    .await;
    let body = body
        .map_err(|_elapsed| AttemptFailure::unknown("the response body did not end in time"))?
        .map_err(|error| {
            AttemptFailure::unknown(format_smolstr!(
                "the response body was interrupted: {error}"
            ))
        })?;
    let mut response = Response::new(full_body(body.to_bytes()));
    *response.status_mut() = parts.status;
    *response.headers_mut() = wire.response_headers(&parts);
    Ok(OpenedResponse::Other(response))
}

/// Closes a connection at the deadline of a request, unless the result is dropped before.
fn close_at_deadline(connection: &Connection, request: &AdmittedRequest) -> ConnectionDeadline {
    let deadline = request.deadline.clone();
    connection.close_after(async move { deadline.passed().await })
}
