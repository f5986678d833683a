//! [`SilenceSite`]: a node with scripted workers that fall silent.

use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError, wait_until};
use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::native_catalog::native_catalog;
use crate::native_site::{API_KEY, HOST, NativeSite, event_ids};
use crate::scripted_worker::{ScriptedWorker, Step};

/// The routes to the scripted workers, and the number of workers to which a request may be sent.
pub const RESUMABLE: &str = "resumable";
pub const ONCE: &str = "once";
pub const PLAIN: &str = "plain";
const MAX_ATTEMPTS: u32 = 2;

/// The script of a worker. Without one it refuses connections.
pub type Script = Option<&'static [Step]>;

/// The prefix of the paths to the services of the scripted workers, and their model.
const PREFIX: &str = "/scripted";
const MODEL: &str = "m1";

/// The processing time of a plain request of the usual services, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// How long a caller waits.
const TIMEOUT_MS: &str = "4000";

/// A node and services with scripted workers, of which the first one of each is nearest.
pub struct SilenceSite {
    pub site: NativeSite,
    services: Vec<Vec<ScriptedWorker>>,
    has_groups: bool,
}

impl SilenceSite {
    /// Starts services whose workers serve without groups.
    pub async fn start(services: &[impl AsRef<[Script]>]) -> Self {
        Self::start_with(services, false).await
    }

    /// Starts services whose workers are groups of one, and look lost to all who ask for their state.
    pub async fn start_groups(services: &[impl AsRef<[Script]>]) -> Self {
        Self::start_with(services, true).await
    }

    async fn start_with(services: &[impl AsRef<[Script]>], has_groups: bool) -> Self {
        let site = NativeSite::start(1, 2, SHORT_WORK).await;
        let mut site = Self {
            site,
            services: Vec::new(),
            has_groups,
        };
        for (service, scripts) in services.iter().enumerate() {
            let mut workers = Vec::new();
            for (number, script) in scripts.as_ref().iter().enumerate() {
                workers.push(site.start_worker(service, number, *script).await);
            }
            site.services.push(workers);
        }
        site.put_catalog(2);
        site.site.wait_serving().await;
        wait_until("the catalog is in force", async || {
            site.site.metric(0, "cuminlb_catalog_version").await == 2
        })
        .await
        .unwrap();
        site
    }

    /// Starts one more worker of a service.
    pub async fn start_worker(
        &self,
        service: usize,
        number: usize,
        script: Script,
    ) -> ScriptedWorker {
        let id = format!("w{service}-{number}");
        let entry = self.entry(service, number);
        ScriptedWorker::start(&self.site.fleet, &id, entry, PREFIX, script).await
    }

    fn entry(&self, service: usize, number: usize) -> Value {
        let zone = if number == 0 { "za" } else { "zb" };
        let mut entry = json!({
            "service": service_name(service), "zone": zone, "version": "v1", "slots": 6,
            "state": "ready", "warmupRemainingMs": 0, "sequence": 1, "born": 1,
        });
        if self.has_groups {
            let epoch = service * 10 + number + 1;
            entry["domain"] = format!("d{service}").into();
            entry["staged"] = json!([MODEL]);
            entry["group"] = json!({
                "name": format!("{MODEL}.{epoch}"), "epoch": epoch, "rank": 0, "state": "open",
            });
        }
        entry
    }

    /// Writes a version of the catalog with the routes to the scripted workers.
    pub fn put_catalog(&self, version: u64) {
        let numbers = 0..self.services.len();
        let routes: Vec<Value> = numbers.clone().flat_map(routes_to).collect();
        let mut catalog = native_catalog(version, &routes);
        let services = catalog["services"].as_array_mut().unwrap();
        for number in numbers {
            let name = service_name(number);
            let mut service =
                json!({"name": name, "maxConnections": 50, "warmupS": 0, "coldPerS": 0});
            if self.has_groups {
                service["engine"] = engine();
            }
            services.push(service);
        }
        self.site.fleet.rows.put("op", "config", &catalog);
    }

    /// Sends a request of a caller to a service.
    pub async fn send(&self, service: usize, route: &str) -> Result<HttpResponse, SiteError> {
        self.send_as(&format!("silent-{service}"), service, route)
            .await
    }

    async fn send_as(
        &self,
        id: &str,
        service: usize,
        route: &str,
    ) -> Result<HttpResponse, SiteError> {
        let key = format!("Token {API_KEY}");
        let mut headers = vec![
            ("host", HOST),
            ("x-attempt-id", id),
            ("x-deadline-ms", TIMEOUT_MS),
            ("authorization", key.as_str()),
        ];
        if self.has_groups {
            headers.extend([("x-model", MODEL), ("x-token-count", "100,20")]);
        }
        let url = self.site.nodes[0].url(&format!("{PREFIX}{service}/{route}/x"));
        self.site.client.call(Method::GET, &url, &headers, "").await
    }

    /// Sends a request to each service at the same time, and checks that each caller gets the whole
    /// stream of six events, each event once.
    pub async fn check_whole_streams(&self, route: &str) {
        self.check_whole_streams_of(0..self.services.len(), route)
            .await;
    }

    /// Checks the same for a request to each of some services, which may be named several times.
    pub async fn check_whole_streams_of(&self, services: impl Iterator<Item = usize>, route: &str) {
        let requests = services.enumerate().map(|(number, service)| async move {
            let id = format!("silent-{number}");
            self.failure_of(&id, service, route).await
        });
        let failures = join_all(requests).await;
        let failures: Vec<String> = failures.into_iter().flatten().collect();
        let count = failures.len();
        let log = self.site.nodes[0].process.log();
        let text = failures.join("\n");
        assert_eq!(count, 0, "{count} streams lost\n{text}\n{log}");
    }

    async fn failure_of(&self, id: &str, service: usize, route: &str) -> Option<String> {
        let seen = match self.send_as(id, service, route).await {
            Ok(response) if response.status != StatusCode::OK => response.text(),
            Ok(response) => match event_ids(&response).as_slice() {
                [1, 2, 3, 4, 5, 6] => return None,
                ids => format!("{ids:?}"),
            },
            Err(error) => error.to_string(),
        };
        Some(format!("service {service}: {seen}"))
    }

    /// Returns a worker of the only service.
    pub fn worker(&self, number: usize) -> &ScriptedWorker {
        &self.services[0][number]
    }

    /// Returns the number of requests that the workers of a service but the first have received.
    pub fn offers(&self, service: usize) -> usize {
        let others = self.services[service].iter().skip(1);
        others.map(|worker| worker.requests().len()).sum()
    }

    /// Waits until the log of the node contains a text.
    pub async fn wait_logged(&self, text: &str) {
        let node = &self.site.nodes[0];
        wait_until(text, async || node.process.log().contains(text))
            .await
            .unwrap();
    }
}

fn service_name(number: usize) -> String {
    format!("scripted{number}")
}

fn routes_to(service: usize) -> [Value; 3] {
    let route = |name: &str, kind: &str| {
        json!({
            "name": format!("{name}{service}"), "host": HOST,
            "prefix": format!("{PREFIX}{service}/{name}/"), "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 500, "priority": 1, "service": service_name(service),
            "maxAttempts": MAX_ATTEMPTS, "gapAimMs": 300,
        })
    };
    let mut resumable = route(RESUMABLE, "streaming");
    resumable["resumable"] = json!(true);
    [
        resumable,
        route(ONCE, "streaming"),
        route(PLAIN, "idempotent"),
    ]
}

/// The engine of a service whose groups have one member.
fn engine() -> Value {
    json!({
        "slots": 8, "kvTokenCapacity": 1000, "stride": 5, "step_ms": 6.0, "per_seq_ms": 0.2,
        "read_per_s": 46000.0, "loadsPerS": 9.0, "loads_at_once": 6,
        "models": [{
            "name": MODEL, "size": 1, "share": 1.0, "pace": 1.0, "loadS": 0.2, "warmS": 0.1,
        }],
    })
}
