//! The HTTP client of the load generator, which times the tokens of streamed responses.

use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{LoadPlan, LoadTarget, Outcome, Sample};

/// Sends streamed chat requests and measures their responses.
#[derive(Clone, Debug)]
pub(crate) struct StreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The outcome of one attempt, and the delay after which a refused request may be retried.
struct Attempt {
    outcome: Outcome,
    retry_after: Option<Duration>,
}

impl StreamClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends one request at its scheduled time, and retries it after refusals that allow it.
    pub(crate) async fn call(
        &self,
        plan: &LoadPlan,
        target: &LoadTarget,
        team: usize,
        scheduled_at: Instant,
    ) -> Sample {
        let mut sample = Sample {
            team,
            outcome: Outcome::TimedOut,
            time_to_first_token: None,
            inter_token_gaps: Vec::new(),
            total_latency: Duration::ZERO,
            attempts: 0,
        };
        let deadline = scheduled_at + plan.timeout_ms.duration();
        let exchange = async {
            loop {
                sample.attempts += 1;
                let attempt = self
                    .send_attempt(plan, target, scheduled_at, &mut sample)
                    .await;
                sample.outcome = attempt.outcome;
                match attempt.retry_after {
                    Some(delay) if sample.attempts <= plan.max_retries => {
                        tokio::time::sleep(delay).await;
                    }
                    _ => return,
                }
            }
        };
        if tokio::time::timeout_at(deadline, exchange).await.is_err() {
            sample.outcome = Outcome::TimedOut;
        }
        sample.total_latency = scheduled_at.elapsed();
        sample
    }

    async fn send_attempt(
        &self,
        plan: &LoadPlan,
        target: &LoadTarget,
        scheduled_at: Instant,
        sample: &mut Sample,
    ) -> Attempt {
        let without_retry = |outcome| Attempt {
            outcome,
            retry_after: None,
        };
        let Ok(request) = build_request(plan, target, sample.team) else {
            return without_retry(Outcome::NoResponse);
        };
        let Ok(response) = self.client.request(request).await else {
            return without_retry(Outcome::NoResponse);
        };
        if response.status() != StatusCode::OK {
            return read_refusal(response).await;
        }
        without_retry(
            read_stream(
                response.into_body(),
                plan.tokens.get(),
                scheduled_at,
                sample,
            )
            .await,
        )
    }
}

fn build_request(
    plan: &LoadPlan,
    target: &LoadTarget,
    team: usize,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let body = json!({
        "model": plan.model,
        "stream": true,
        "max_tokens": plan.tokens.get(),
        "messages": [{ "role": "user", "content": "Which crews row at dawn?" }],
    });
    let mut request = Request::post(&target.url).header("content-type", "application/json");
    if let Some(team) = plan.teams.get(team) {
        request = request.header("authorization", format!("Bearer {}", team.api_key));
    }
    for (name, value) in &target.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(body.to_string().into()))
}

async fn read_refusal(response: Response<Incoming>) -> Attempt {
    let header = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let header_s: Option<u64> = header.and_then(|seconds| seconds.parse().ok());
    let Ok(body) = response.into_body().collect().await else {
        return Attempt {
            outcome: Outcome::NoResponse,
            retry_after: None,
        };
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let error = &body["error"];
    let field = |name: &str| error[name].as_str().unwrap_or("?").to_owned();
    let body_retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    Attempt {
        outcome: Outcome::Refused {
            code: field("code"),
            run_state: field("run_state"),
        },
        retry_after: body_retry_after.or(header_s.map(Duration::from_secs)),
    }
}

/// Reads a stream, records token times and checks that each token arrives, in order.
async fn read_stream(
    mut body: Incoming,
    tokens: u64,
    scheduled_at: Instant,
    sample: &mut Sample,
) -> Outcome {
    let mut text = Vec::new();
    let mut last_event_at: Option<Instant> = None;
    let mut events_seen = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::InvalidResponse;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        let now = Instant::now();
        let event_count = text.windows(2).filter(|pair| pair == b"\n\n").count();
        if event_count > events_seen {
            match last_event_at {
                None => sample.time_to_first_token = Some(now - scheduled_at),
                Some(last_event_at) => sample.inter_token_gaps.push(now - last_event_at),
            }
            last_event_at = Some(now);
            events_seen = event_count;
        }
    }
    let text = String::from_utf8_lossy(&text);
    let in_order = (0..tokens).try_fold(0, |position, index| {
        let found = text[position..].find(&format!("\"token{index} \""))?;
        Some(position + found)
    });
    if in_order.is_some() && text.ends_with("data: [DONE]\n\n") {
        Outcome::Completed
    } else {
        Outcome::InvalidResponse
    }
}
