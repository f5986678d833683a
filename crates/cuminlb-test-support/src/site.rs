//! A running test site, with its processes, addresses and credentials.

use std::net::{Ipv4Addr, SocketAddr};

use cuminlb_types::prelude::*;
use http::Method;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::site_files::{CALLER_PORT, OPERATOR_PORT, OPERATOR_TOKEN, PLATFORM_PORT, TEAMS, fleet};
use crate::{
    LoopbackBlock, Process, Programs, SiteBuilder, SiteError, SiteNode, SiteUpstream, TestClient,
    wait_until,
};

/// Limits how many sites of one test program run concurrently, so that their processes do not
/// starve each other.
static SITE_PERMITS: Semaphore = Semaphore::const_new(3);

/// A running site, in which every node and every stand-in is a separate process.
#[derive(Debug)]
pub struct Site {
    pub(crate) plan: SiteBuilder,
    pub(crate) dir: TempDir,
    pub(crate) programs: Programs,
    pub(crate) ip: Ipv4Addr,
    pub(crate) client: TestClient,
    pub(crate) platform: Process,
    _permit: SemaphorePermit<'static>,
    /// The nodes.
    pub nodes: Vec<SiteNode>,
    /// The engines and the workers of plain services.
    pub upstreams: Vec<SiteUpstream>,
    /// Is dropped last, after the processes.
    _block: LoopbackBlock,
}

impl Site {
    pub(crate) async fn start(plan: SiteBuilder) -> Result<Self, SiteError> {
        let io_error = |source| SiteError::Io {
            context: "the temporary directory of the site".to_owned(),
            source,
        };
        let permit = SITE_PERMITS
            .acquire()
            .await
            .map_err(|_| SiteError::TimedOut {
                condition: "a permit to run a site is available".to_owned(),
                timeout_s: 0,
            })?;
        let dir = TempDir::with_prefix("cuminlb-site-").map_err(io_error)?;
        let programs = Programs::find()?;
        let block = LoopbackBlock::claim()?;
        let ip = block.first();
        let address = SocketAddr::from((ip, PLATFORM_PORT));
        let arguments = [
            format!("--listen={address}"),
            format!("--list-lag={}", plan.list_lag_ms),
        ];
        let log = dir.path().join("platform.log");
        let platform = Process::start(&programs.example("standin_platform"), arguments, log)?;
        let mut site = Self {
            plan,
            dir,
            programs,
            ip,
            client: TestClient::default(),
            platform,
            _permit: permit,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            _block: block,
        };
        site.start_upstreams()?;
        site.start_nodes()?;
        wait_until("the platform responds", async || {
            site.publish_instances().await.is_ok()
        })
        .await?;
        for node in &site.nodes {
            let url = format!("http://{}:{CALLER_PORT}/healthz", node.ip);
            wait_until("the node responds", async || {
                site.client.call(Method::GET, &url, &[], "").await.is_ok()
            })
            .await?;
        }
        Ok(site)
    }

    /// Returns the fleet file of the site, with every availability zone in.
    pub fn fleet_toml(&self) -> String {
        fleet(&self.plan, &[])
    }

    /// Returns the fleet file of the site, with these availability zones out.
    pub fn fleet_toml_with_zones_out(&self, zones_out: &[&str]) -> String {
        fleet(&self.plan, zones_out)
    }

    /// Returns the HTTP client of the site.
    pub const fn client(&self) -> &TestClient {
        &self.client
    }

    /// Returns the URL of a path on the caller port of a node.
    pub fn caller_url(&self, node: usize, path: &str) -> String {
        format!("http://{}:{CALLER_PORT}{path}", self.nodes[node].ip)
    }

    /// Returns the operator addresses of all nodes, in the format of `CUMINCTL_NODES`.
    pub fn operator_addresses(&self) -> String {
        let addresses = self
            .nodes
            .iter()
            .map(|node| format!("{}:{OPERATOR_PORT}", node.ip));
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Returns the operator token, which is the same for every site.
    pub const fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the API key of the first team.
    pub const fn api_key(&self) -> &'static str {
        TEAMS[0].1
    }

    /// Returns the paths of the built programs.
    pub const fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Returns the index of an instance in `upstreams`.
    pub fn upstream_index(&self, instance: &InstanceId) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|upstream| upstream.record.id == *instance)
    }

    /// Shuts the nodes down gracefully one by one, then kills the stand-ins, and waits for each.
    pub async fn shut_down(mut self) {
        for node in &mut self.nodes {
            let _ = node.process.terminate().await;
        }
        for upstream in &mut self.upstreams {
            upstream.process.kill().await;
        }
        self.platform.kill().await;
    }
}
