//! Calls of callers and operators.

use cuminlb_caller::{ApplyReport, ApplyRequest, FleetDocument, NodeStatus};
use http::Method;
use serde_json::json;

use crate::http_client::parse_answer;
use crate::site_files::{OPERATOR_PORT, OPERATOR_TOKEN};
use crate::{Answer, Site, SiteError, wait_until};

impl Site {
    /// Sends a chat request through a node as the first team.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when no whole answer came.
    pub async fn chat(
        &self,
        node: usize,
        model: &str,
        stream: bool,
        tokens: u64,
    ) -> Result<Answer, SiteError> {
        let body = json!({
            "model": model,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "Who rows at dawn?" }],
        });
        self.chat_as(self.api_key(), node, body.to_string()).await
    }

    /// Sends a chat request with a body and an API key of its own.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when no whole answer came.
    pub async fn chat_as(
        &self,
        api_key: &str,
        node: usize,
        body: String,
    ) -> Result<Answer, SiteError> {
        let url = self.caller_url(node, "/v1/chat/completions");
        let authorization = format!("Bearer {api_key}");
        let headers = [
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
        ];
        self.client.call(Method::POST, &url, &headers, body).await
    }

    /// Calls a plain service through a node as the first team.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when no whole answer came.
    pub async fn call_plain(
        &self,
        node: usize,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Result<Answer, SiteError> {
        let url = self.caller_url(node, path);
        let authorization = format!("Bearer {}", self.api_key());
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(idempotency_key.map(|key| ("idempotency-key", key)));
        self.client
            .call(method, &url, &headers, body.to_owned())
            .await
    }

    /// Puts a fleet file in force through the first node that answers.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when no node accepted it.
    pub async fn apply(&self, fleet: &str) -> Result<ApplyReport, SiteError> {
        let mut last = None;
        for node in 0..self.nodes.len() {
            match self.apply_at(node, fleet).await {
                Ok(report) => return Ok(report),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| SiteError::TimedOut {
            what: "apply".to_owned(),
            seconds: 0,
        }))
    }

    /// Puts a fleet file in force through one node.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the node did not accept it.
    pub async fn apply_at(&self, node: usize, fleet: &str) -> Result<ApplyReport, SiteError> {
        let document: FleetDocument = self.operator_get(node, "/fleet").await?;
        let base = Some(document.version).filter(|version| version.get() > 0);
        let request = ApplyRequest {
            base,
            body: fleet.to_owned(),
        };
        let answer = self
            .operator_call(node, Method::POST, "/apply", json!(request))
            .await?;
        if answer.status.is_success() {
            return parse_answer(&answer);
        }
        let url = format!("apply through {}", self.nodes[node].id);
        Err(SiteError::Http {
            url,
            reason: answer.text(),
        })
    }

    /// Returns the state that one node sees.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the node does not answer.
    pub async fn status(&self, node: usize) -> Result<NodeStatus, SiteError> {
        self.operator_get(node, "/status").await
    }

    /// Waits until every group that the plan asks for serves and every node is ready.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::TimedOut`] when that does not happen.
    pub async fn wait_serving(&self) -> Result<(), SiteError> {
        let models = self.plan.models.iter().map(|model| model.replicas);
        let plains = self.plan.plains.iter().map(|plain| plain.workers);
        let wanted: u32 = models.chain(plains).sum();
        wait_until("every group serves", async || {
            let (serving, ready) = self.count_serving().await;
            serving == wanted && ready
        })
        .await
    }

    /// Counts the groups that serve, as their owners say, and tells whether all nodes are ready.
    pub async fn count_serving(&self) -> (u32, bool) {
        let mut serving = 0;
        let mut ready = true;
        for node in 0..self.nodes.len() {
            let Ok(status) = self.status(node).await else {
                ready = false;
                continue;
            };
            ready &= status.ready;
            let groups = status.services.iter().flat_map(|service| &service.groups);
            let owned = groups.filter_map(|group| group.owned);
            serving += owned.map(|owned| u32::from(owned.serving)).sum::<u32>();
        }
        (serving, ready)
    }

    pub(crate) async fn operator_get<T: serde::de::DeserializeOwned>(
        &self,
        node: usize,
        path: &str,
    ) -> Result<T, SiteError> {
        let answer = self
            .operator_call(node, Method::GET, path, json!(null))
            .await?;
        parse_answer(&answer)
    }

    /// Calls the operators' API of one node.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when no whole answer came.
    pub async fn operator_call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: serde_json::Value,
    ) -> Result<Answer, SiteError> {
        let url = format!("http://{}:{OPERATOR_PORT}{path}", self.nodes[node].ip);
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        self.client
            .call(method, &url, &headers, body.to_string())
            .await
    }

    /// Calls a path of an engine or a worker directly.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the upstream does not answer.
    pub async fn call_upstream(
        &self,
        upstream: usize,
        method: Method,
        path: &str,
    ) -> Result<Answer, SiteError> {
        let url = format!("http://{}{path}", self.upstreams[upstream].record.address);
        self.client.call(method, &url, &[], "").await
    }
}
