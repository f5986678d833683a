//! [`Site`].

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use cuminlb_caller::{ApplyReport, ApplyRequest, FleetDocument, NodeStatus};
use cuminlb_platform::{InstanceRecord, InstanceRole, InstanceState};
use cuminlb_standins::{Fault, TrafficReport};
use cuminlb_types::prelude::*;
use http::Method;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::site_files::{
    CALLER_PORT, OPERATOR_PORT, OPERATOR_TOKEN, PEER_PORT, TEAMS, fleet, node_settings,
};
use crate::{
    Answer, ModelPlan, PlainPlan, Process, Programs, SiteBuilder, SiteError, TestClient, wait_until,
};

/// The first port of the upstreams of a site.
const FIRST_UPSTREAM_PORT: u16 = 10_000;

/// The port of the platform of a site.
const PLATFORM_PORT: u16 = 9_000;

/// The number of sites that run at once in one test program, so that their processes do not
/// starve each other.
static SITE_PERMITS: Semaphore = Semaphore::const_new(3);

/// Tells the sites of one process apart.
static NEXT_SITE: AtomicU32 = AtomicU32::new(0);

/// A running site: every node and stand-in is a process of its own.
#[derive(Debug)]
pub struct Site {
    plan: SiteBuilder,
    folder: TempDir,
    programs: Programs,
    ip: Ipv4Addr,
    client: TestClient,
    platform: Process,
    _permit: SemaphorePermit<'static>,
    /// The nodes.
    pub nodes: Vec<SiteNode>,
    /// The engines and the workers.
    pub upstreams: Vec<SiteUpstream>,
}

/// One node of a site.
#[derive(Debug)]
pub struct SiteNode {
    /// The id of the node.
    pub id: String,
    /// The availability zone of the node.
    pub zone: String,
    /// The address of the node; its ports are those of every site.
    pub ip: IpAddr,
    /// Where the platform says that peers reach the node.
    pub peer_address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// One engine or worker of a site.
#[derive(Debug)]
pub struct SiteUpstream {
    /// What the platform lists.
    pub record: InstanceRecord,
    /// The process.
    pub process: Process,
    example: &'static str,
    arguments: Vec<String>,
}

impl Site {
    pub(crate) async fn start(plan: SiteBuilder) -> Result<Self, SiteError> {
        let io = |source| SiteError::Io {
            what: "the folder of the site".to_owned(),
            source,
        };
        let permit = SITE_PERMITS
            .acquire()
            .await
            .map_err(|_| SiteError::TimedOut {
                what: "a turn to run a site".to_owned(),
                seconds: 0,
            })?;
        let folder = TempDir::with_prefix("cuminlb-site-").map_err(io)?;
        let programs = Programs::find()?;
        let ip = next_ip();
        let address = SocketAddr::from((ip, PLATFORM_PORT));
        let arguments = [
            format!("--listen={address}"),
            format!("--list-lag={}", plan.list_lag_ms),
        ];
        let log = folder.path().join("platform.log");
        let platform = Process::start(&programs.example("standin_platform"), arguments, log)?;
        let mut site = Self {
            plan,
            folder,
            programs,
            ip,
            client: TestClient::default(),
            platform,
            _permit: permit,
            nodes: Vec::new(),
            upstreams: Vec::new(),
        };
        site.start_upstreams()?;
        site.start_nodes()?;
        wait_until("the platform answers", async || {
            site.list_instances().await.is_ok()
        })
        .await?;
        for node in &site.nodes {
            let url = format!("http://{}:{CALLER_PORT}/healthz", node.ip);
            wait_until("the node answers", async || {
                site.client.call(Method::GET, &url, &[], "").await.is_ok()
            })
            .await?;
        }
        Ok(site)
    }

    /// Returns the fleet file that the plan of the site asks for.
    pub fn fleet_toml(&self) -> String {
        fleet(&self.plan, &[])
    }

    /// Returns the fleet file with some availability zones out.
    pub fn fleet_toml_without(&self, zones_out: &[&str]) -> String {
        fleet(&self.plan, zones_out)
    }

    /// Returns a caller.
    pub const fn client(&self) -> &TestClient {
        &self.client
    }

    /// Returns the URL of a path at the caller port of a node.
    pub fn caller_url(&self, node: usize, path: &str) -> String {
        format!("http://{}:{CALLER_PORT}{path}", self.nodes[node].ip)
    }

    /// Returns the operator addresses of all nodes, as `CUMINCTL_NODES` takes them.
    pub fn operator_addresses(&self) -> String {
        let addresses = self
            .nodes
            .iter()
            .map(|node| format!("{}:{OPERATOR_PORT}", node.ip));
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Returns the operator token of every site.
    pub const fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the API key of the first team.
    pub const fn api_key(&self) -> &'static str {
        TEAMS[0].1
    }

    /// Returns the programs of the build.
    pub const fn programs(&self) -> &Programs {
        &self.programs
    }

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
        let url = self.caller_url(node, "/v1/chat/completions");
        let authorization = format!("Bearer {}", self.api_key());
        let headers = [
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
        ];
        self.client
            .call(Method::POST, &url, &headers, body.to_string())
            .await
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
            return parse(&answer);
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

    /// Switches the fault of the platform.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the platform does not answer.
    pub async fn set_platform_fault(&self, fault: Fault) -> Result<(), SiteError> {
        self.set_fault(SocketAddr::from((self.ip, PLATFORM_PORT)), fault)
            .await
    }

    /// Switches the fault of an engine or a worker.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the upstream does not answer.
    pub async fn set_upstream_fault(&self, upstream: usize, fault: Fault) -> Result<(), SiteError> {
        self.set_fault(self.upstreams[upstream].record.address, fault)
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

    /// Returns the traffic that the platform has counted.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the platform does not answer.
    pub async fn platform_traffic(&self) -> Result<TrafficReport, SiteError> {
        let url = format!("http://{}:{PLATFORM_PORT}/traffic", self.ip);
        parse(&self.client.call(Method::GET, &url, &[], "").await?)
    }

    /// Returns the traffic that an engine or a worker has counted.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the upstream does not answer.
    pub async fn upstream_traffic(&self, upstream: usize) -> Result<TrafficReport, SiteError> {
        parse(
            &self
                .call_upstream(upstream, Method::GET, "/traffic")
                .await?,
        )
    }

    /// Returns the index of an instance among the upstreams.
    pub fn upstream_index(&self, instance: &InstanceId) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|upstream| upstream.record.id == *instance)
    }

    /// Marks an instance as leaving in the platform's list.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the platform does not answer.
    pub async fn mark_leaving(&mut self, upstream: usize) -> Result<(), SiteError> {
        self.upstreams[upstream].record.state = InstanceState::Leaving;
        self.list_instances().await
    }

    /// Writes the nodes and upstreams into the platform's list.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when the platform does not answer.
    pub async fn list_instances(&self) -> Result<(), SiteError> {
        self.list_instances_at(self.platform_address(), &self.records())
            .await
    }

    /// Returns what the platform lists: the nodes and the upstreams.
    pub fn records(&self) -> Vec<InstanceRecord> {
        let nodes = self.nodes.iter().filter_map(node_record);
        let upstreams = self
            .upstreams
            .iter()
            .map(|upstream| upstream.record.clone());
        nodes.chain(upstreams).collect()
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, PLATFORM_PORT))
    }

    /// Writes records into the list of another platform than the site's own.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when that platform does not answer.
    pub async fn list_instances_at(
        &self,
        platform: SocketAddr,
        records: &[InstanceRecord],
    ) -> Result<(), SiteError> {
        let url = format!("http://{platform}/instances");
        self.client
            .call(Method::PUT, &url, &[], json!(records).to_string())
            .await?;
        Ok(())
    }

    /// Starts a node again that reaches the table and the instance list at other addresses.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] when its settings can't be changed or it can't be started.
    pub async fn restart_node_behind(
        &mut self,
        node: usize,
        table: SocketAddr,
        instances: SocketAddr,
    ) -> Result<(), SiteError> {
        let id = self.nodes[node].id.clone();
        let path = self.folder.path().join(format!("{id}.toml"));
        let io = |source| SiteError::Io {
            what: path.display().to_string(),
            source,
        };
        let platform = self.platform_address();
        let settings = std::fs::read_to_string(&path).map_err(io)?;
        let settings = settings
            .replace(
                &format!("instances = \"{platform}\""),
                &format!("instances = \"{instances}\""),
            )
            .replace(&format!("\"{platform}\""), &format!("\"{table}\""));
        std::fs::write(&path, settings).map_err(io)?;
        self.nodes[node].process.kill().await;
        self.restart_node(node)
    }

    /// Starts a node again in the place of one that has ended.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] when the process can't be started.
    pub fn restart_node(&mut self, node: usize) -> Result<(), SiteError> {
        let id = self.nodes[node].id.clone();
        self.nodes[node].process = self.node_process(&id)?;
        Ok(())
    }

    /// Kills an engine or a worker and starts it anew.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] when the process can't be started.
    pub async fn restart_upstream(&mut self, upstream: usize) -> Result<(), SiteError> {
        self.upstreams[upstream].process.kill().await;
        let SiteUpstream {
            record,
            example,
            arguments,
            ..
        } = &self.upstreams[upstream];
        let process = self.upstream_process(record, example, arguments)?;
        self.upstreams[upstream].process = process;
        Ok(())
    }

    /// Shuts every process down and waits for its end.
    pub async fn shut_down(mut self) {
        for node in &mut self.nodes {
            let _ = node.process.terminate().await;
        }
        for upstream in &mut self.upstreams {
            upstream.process.kill().await;
        }
        self.platform.kill().await;
    }

    fn start_upstreams(&mut self) -> Result<(), SiteError> {
        let plan = self.plan.clone();
        for model in &plan.models {
            let spares_each = model
                .spares
                .div_ceil(u32::try_from(plan.zones.len()).unwrap_or(1));
            for replica in 0..model.replicas {
                let zone = &plan.zones[replica as usize % plan.zones.len()];
                (0..model.members).try_for_each(|_| self.start_engine(model, zone))?;
            }
            for spare in 0..model.spares {
                let zone = &plan.zones[(spare / spares_each) as usize % plan.zones.len()];
                self.start_engine(model, zone)?;
            }
        }
        for plain in &plan.plains {
            for worker in 0..plain.workers {
                let zone = &plan.zones[worker as usize % plan.zones.len()];
                self.start_plain(plain, zone)?;
            }
        }
        Ok(())
    }

    fn start_engine(&mut self, model: &ModelPlan, zone: &str) -> Result<(), SiteError> {
        let record = self.upstream_record(&model.name, zone);
        let engine = &model.engine;
        let mut arguments = vec![
            format!("--listen={}", record.address),
            format!("--first-token={}", engine.first_token_ms),
            format!("--token-gap={}", engine.token_gap_ms),
            format!("--tokens={}", engine.tokens),
            format!("--cold-start={}", engine.cold_start_ms),
            format!("--cold-limit={}", engine.cold_limit),
            format!("--warm-limit={}", engine.warm_limit),
        ];
        if !engine.checks_fencing {
            arguments.push("--ignore-fencing".to_owned());
        }
        self.start_upstream("standin_engine", record, arguments)
    }

    fn start_plain(&mut self, plain: &PlainPlan, zone: &str) -> Result<(), SiteError> {
        let record = self.upstream_record(&plain.name, zone);
        let arguments = vec![
            format!("--listen={}", record.address),
            format!("--call={}", plain.options.call_ms),
        ];
        self.start_upstream("standin_plain", record, arguments)
    }

    fn start_upstream(
        &mut self,
        example: &'static str,
        record: InstanceRecord,
        arguments: Vec<String>,
    ) -> Result<(), SiteError> {
        let process = self.upstream_process(&record, example, &arguments)?;
        self.upstreams.push(SiteUpstream {
            record,
            process,
            example,
            arguments,
        });
        Ok(())
    }

    fn upstream_process(
        &self,
        record: &InstanceRecord,
        example: &str,
        arguments: &[String],
    ) -> Result<Process, SiteError> {
        let log = self.folder.path().join(format!("{}.log", record.id));
        Process::start(&self.programs.example(example), arguments, log)
    }

    #[expect(
        clippy::expect_used,
        reason = "names and numbers of a test form valid ids"
    )]
    fn upstream_record(&self, service: &str, zone: &str) -> InstanceRecord {
        let number = u16::try_from(self.upstreams.len()).expect("few upstreams");
        let id = format!("{service}-i{number}");
        InstanceRecord {
            id: id.parse().expect("a valid id"),
            role: InstanceRole::Upstream {
                service: service.parse().expect("a valid id"),
            },
            address: SocketAddr::from((self.ip, FIRST_UPSTREAM_PORT + number)),
            zone: zone.parse().expect("a valid id"),
            domain: format!("{zone}-fabric").parse().expect("a valid id"),
            accelerators: AcceleratorCount(8),
            state: InstanceState::Live,
        }
    }

    fn start_nodes(&mut self) -> Result<(), SiteError> {
        for number in 0..self.plan.nodes {
            let id = format!("node-{number}");
            let zone = self.plan.zones[number as usize % self.plan.zones.len()].clone();
            let ip = node_ip(self.ip, number);
            let platform = SocketAddr::from((self.ip, PLATFORM_PORT));
            let settings = node_settings(&self.plan, &id, &zone, ip, platform);
            let path = self.folder.path().join(format!("{id}.toml"));
            let io = |source| SiteError::Io {
                what: path.display().to_string(),
                source,
            };
            std::fs::write(&path, settings).map_err(io)?;
            let process = self.node_process(&id)?;
            self.nodes.push(SiteNode {
                id,
                zone,
                ip,
                peer_address: SocketAddr::from((ip, PEER_PORT)),
                process,
            });
        }
        Ok(())
    }

    fn node_process(&self, id: &str) -> Result<Process, SiteError> {
        let settings = self.folder.path().join(format!("{id}.toml"));
        let log = self.folder.path().join(format!("{id}.log"));
        Process::start(&self.programs.binary("cuminlb"), [settings], log)
    }

    async fn set_fault(&self, address: SocketAddr, fault: Fault) -> Result<(), SiteError> {
        let url = format!("http://{address}/fault");
        self.client
            .call(Method::PUT, &url, &[], json!(fault).to_string())
            .await?;
        Ok(())
    }

    async fn operator_get<T: serde::de::DeserializeOwned>(
        &self,
        node: usize,
        path: &str,
    ) -> Result<T, SiteError> {
        let answer = self
            .operator_call(node, Method::GET, path, json!(null))
            .await?;
        parse(&answer)
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
}

fn node_record(node: &SiteNode) -> Option<InstanceRecord> {
    Some(InstanceRecord {
        id: node.id.parse().ok()?,
        role: InstanceRole::Node,
        address: node.peer_address,
        zone: node.zone.parse().ok()?,
        domain: format!("{}-entry", node.zone).parse().ok()?,
        accelerators: AcceleratorCount(0),
        state: InstanceState::Live,
    })
}

fn parse<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T, SiteError> {
    serde_json::from_slice(&answer.body).map_err(|error| SiteError::Http {
        url: "operator call".to_owned(),
        reason: format!("{error}: {}", answer.text()),
    })
}

/// Returns a loopback address that no other site uses: of this process and number.
fn next_ip() -> Ipv4Addr {
    let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(
        127,
        10 + high % 200,
        low,
        u8::try_from(number % 16).unwrap_or(0) * 16 + 1,
    )
}

fn node_ip(site: Ipv4Addr, number: u32) -> IpAddr {
    let [a, b, c, d] = site.octets();
    let last = d.saturating_add(u8::try_from(number % 15).unwrap_or(0));
    IpAddr::V4(Ipv4Addr::new(a, b, c, last))
}
