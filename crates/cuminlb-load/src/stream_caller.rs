//! [`StreamCaller`].

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

/// Sends streamed chat requests and measures their answers.
#[derive(Clone, Debug)]
pub(crate) struct StreamCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The answer to one try, and when the caller may come back after a refusal.
struct Try {
    outcome: Outcome,
    return_after: Option<Duration>,
}

impl StreamCaller {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends one request that was due at `due`, and comes back after refusals that allow it.
    pub(crate) async fn call(
        &self,
        plan: &LoadPlan,
        target: &LoadTarget,
        team: usize,
        due: Instant,
    ) -> Sample {
        let mut sample = Sample {
            team,
            outcome: Outcome::TimedOut,
            first_token: None,
            gaps: Vec::new(),
            total: Duration::ZERO,
            tries: 0,
        };
        let deadline = due + plan.timeout_ms.duration();
        let calling = async {
            loop {
                sample.tries += 1;
                let tried = self.try_once(plan, target, due, &mut sample).await;
                sample.outcome = tried.outcome;
                match tried.return_after {
                    Some(after) if sample.tries <= plan.returns => {
                        tokio::time::sleep(after).await;
                    }
                    _ => return,
                }
            }
        };
        if tokio::time::timeout_at(deadline, calling).await.is_err() {
            sample.outcome = Outcome::TimedOut;
        }
        sample.total = due.elapsed();
        sample
    }

    async fn try_once(
        &self,
        plan: &LoadPlan,
        target: &LoadTarget,
        due: Instant,
        sample: &mut Sample,
    ) -> Try {
        let ended = |outcome| Try {
            outcome,
            return_after: None,
        };
        let Ok(request) = build_request(plan, target, sample.team) else {
            return ended(Outcome::NoAnswer);
        };
        let Ok(response) = self.client.request(request).await else {
            return ended(Outcome::NoAnswer);
        };
        if response.status() != StatusCode::OK {
            return read_refusal(response).await;
        }
        ended(read_stream(response.into_body(), plan.tokens.get(), due, sample).await)
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

async fn read_refusal(response: Response<Incoming>) -> Try {
    let after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|after| after.to_str().ok());
    let after_s: Option<u64> = after.and_then(|after| after.parse().ok());
    let Ok(body) = response.into_body().collect().await else {
        return Try {
            outcome: Outcome::NoAnswer,
            return_after: None,
        };
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let error = &body["error"];
    let field = |name: &str| error[name].as_str().unwrap_or("?").to_owned();
    let after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    Try {
        outcome: Outcome::Refused {
            code: field("code"),
            run_state: field("run_state"),
        },
        return_after: after.or(after_s.map(Duration::from_secs)),
    }
}

/// Reads a stream and checks that every token came once and in order.
async fn read_stream(
    mut body: Incoming,
    tokens: u64,
    due: Instant,
    sample: &mut Sample,
) -> Outcome {
    let mut text = Vec::new();
    let mut last: Option<Instant> = None;
    let mut seen = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Broken;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        let now = Instant::now();
        let ends = text.windows(2).filter(|pair| pair == b"\n\n").count();
        if ends > seen {
            match last {
                None => sample.first_token = Some(now - due),
                Some(last) => sample.gaps.push(now - last),
            }
            last = Some(now);
            seen = ends;
        }
    }
    let text = String::from_utf8_lossy(&text);
    let in_order = (0..tokens).try_fold(0, |from, index| {
        let found = text[from..].find(&format!("\"token{index} \""))?;
        Some(from + found)
    });
    if in_order.is_some() && text.ends_with("data: [DONE]\n\n") {
        Outcome::Answered
    } else {
        Outcome::Broken
    }
}
