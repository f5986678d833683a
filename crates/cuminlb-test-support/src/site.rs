//! [`Site`].

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use cuminlb_types::prelude::*;
use http::Method;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::site_files::{CALLER_PORT, OPERATOR_PORT, OPERATOR_TOKEN, PLATFORM_PORT, TEAMS, fleet};
use crate::{
    Process, Programs, SiteBuilder, SiteError, SiteNode, SiteUpstream, TestClient, wait_until,
};

/// The number of sites that run at once in one test program, so that their processes do not
/// starve each other.
static SITE_PERMITS: Semaphore = Semaphore::const_new(3);

/// Tells the sites of one process apart.
static NEXT_SITE: AtomicU32 = AtomicU32::new(0);

/// A running site: every node and stand-in is a process of its own.
#[derive(Debug)]
pub struct Site {
    pub(crate) plan: SiteBuilder,
    pub(crate) folder: TempDir,
    pub(crate) programs: Programs,
    pub(crate) ip: Ipv4Addr,
    pub(crate) client: TestClient,
    pub(crate) platform: Process,
    _permit: SemaphorePermit<'static>,
    /// The nodes.
    pub nodes: Vec<SiteNode>,
    /// The engines and the workers.
    pub upstreams: Vec<SiteUpstream>,
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

    /// Returns the index of an instance among the upstreams.
    pub fn upstream_index(&self, instance: &InstanceId) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|upstream| upstream.record.id == *instance)
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
