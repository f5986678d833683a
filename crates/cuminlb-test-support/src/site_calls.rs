//! Requests that a test sends to its site as a caller or as an operator.

use cuminlb_caller::{ApplyReport, ApplyRequest, FleetDocument, NodeStatus};
use http::Method;
use serde_json::json;

use crate::http_client::parse_response;
use crate::site_files::{OPERATOR_PORT, OPERATOR_TOKEN};
use crate::{HttpResponse, Site, SiteError, wait_until};

impl Site {
    /// Sends a chat request through a node as the first team.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if no complete response arrives in time.
    pub async fn chat(
        &self,
        node: usize,
        model: &str,
        stream: bool,
        tokens: u64,
    ) -> Result<HttpResponse, SiteError> {
        let body = json!({
            "model": model,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "Who rows at dawn?" }],
        });
        self.chat_as(self.api_key(), node, body.to_string()).await
    }

    /// Sends a chat request with the given API key and body.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if no complete response arrives in time.
    pub async fn chat_as(
        &self,
        api_key: &str,
        node: usize,
        body: String,
    ) -> Result<HttpResponse, SiteError> {
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
    /// Returns [`SiteError::Http`] if no complete response arrives in time.
    pub async fn call_plain(
        &self,
        node: usize,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Result<HttpResponse, SiteError> {
        let url = self.caller_url(node, path);
        let authorization = format!("Bearer {}", self.api_key());
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(idempotency_key.map(|key| ("idempotency-key", key)));
        self.client
            .call(method, &url, &headers, body.to_owned())
            .await
    }

    /// Applies a fleet file through the first node that accepts it.
    ///
    /// # Errors
    ///
    /// Returns the error of the last node if no node accepts it.
    pub async fn apply(&self, fleet: &str) -> Result<ApplyReport, SiteError> {
        let mut last_error = None;
        for node in 0..self.nodes.len() {
            match self.apply_at(node, fleet).await {
                Ok(report) => return Ok(report),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| SiteError::TimedOut {
            condition: "a node accepts the fleet file".to_owned(),
            timeout_s: 0,
        }))
    }

    /// Applies a fleet file through one node, based on the version that this node reports.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the node does not accept it.
    pub async fn apply_at(&self, node: usize, fleet: &str) -> Result<ApplyReport, SiteError> {
        let document: FleetDocument = self.operator_get(node, "/fleet").await?;
        let base = Some(document.version).filter(|version| version.get() > 0);
        let request = ApplyRequest {
            base,
            body: fleet.to_owned(),
        };
        let response = self
            .operator_call(node, Method::POST, "/apply", json!(request))
            .await?;
        if response.status.is_success() {
            return parse_response(&response);
        }
        let url = format!("apply through {}", self.nodes[node].id);
        Err(SiteError::Http {
            url,
            reason: response.text(),
        })
    }

    /// Returns the status that one node reports.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the node does not respond.
    pub async fn status(&self, node: usize) -> Result<NodeStatus, SiteError> {
        self.operator_get(node, "/status").await
    }

    /// Waits until every planned group is serving and every node is ready.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::TimedOut`] if that takes longer than the limit of [`wait_until`].
    pub async fn wait_serving(&self) -> Result<(), SiteError> {
        let model_services = self.plan.model_services.iter().map(|model| model.replicas);
        let plain_services = self.plan.plain_services.iter().map(|plain| plain.workers);
        let wanted: u32 = model_services.chain(plain_services).sum();
        wait_until("every group is serving", async || {
            let (serving, ready) = self.count_serving().await;
            serving == wanted && ready
        })
        .await
    }

    /// Returns the number of groups that their owners report as serving, and whether every node
    /// is ready.
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
        let response = self
            .operator_call(node, Method::GET, path, json!(null))
            .await?;
        parse_response(&response)
    }

    /// Sends a request to the operator API of one node.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if no complete response arrives in time.
    pub async fn operator_call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: serde_json::Value,
    ) -> Result<HttpResponse, SiteError> {
        let url = format!("http://{}:{OPERATOR_PORT}{path}", self.nodes[node].ip);
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        self.client
            .call(method, &url, &headers, body.to_string())
            .await
    }

    /// Sends a request directly to an engine or a worker.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the upstream does not respond.
    pub async fn call_upstream(
        &self,
        upstream: usize,
        method: Method,
        path: &str,
    ) -> Result<HttpResponse, SiteError> {
        let url = format!("http://{}{path}", self.upstreams[upstream].record.address);
        self.client.call(method, &url, &[], "").await
    }
}
