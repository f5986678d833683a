//! Starts the processes of a site, and starts them again.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cuminlb_platform::{InstanceRecord, InstanceRole, InstanceState};
use cuminlb_types::prelude::*;

use crate::site_files::{FIRST_UPSTREAM_PORT, PEER_PORT, PLATFORM_PORT, node_settings};
use crate::{ModelPlan, PlainPlan, Process, Site, SiteError, SiteNode, SiteUpstream};

impl Site {
    pub(crate) fn start_upstreams(&mut self) -> Result<(), SiteError> {
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

    pub(crate) fn start_engine(&mut self, model: &ModelPlan, zone: &str) -> Result<(), SiteError> {
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

    pub(crate) fn start_plain(&mut self, plain: &PlainPlan, zone: &str) -> Result<(), SiteError> {
        let record = self.upstream_record(&plain.name, zone);
        let arguments = vec![
            format!("--listen={}", record.address),
            format!("--call={}", plain.options.call_ms),
        ];
        self.start_upstream("standin_plain", record, arguments)
    }

    pub(crate) fn start_upstream(
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

    pub(crate) fn upstream_process(
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
    pub(crate) fn upstream_record(&self, service: &str, zone: &str) -> InstanceRecord {
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

    pub(crate) fn start_nodes(&mut self) -> Result<(), SiteError> {
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

    pub(crate) fn node_process(&self, id: &str) -> Result<Process, SiteError> {
        let settings = self.folder.path().join(format!("{id}.toml"));
        let log = self.folder.path().join(format!("{id}.log"));
        Process::start(&self.programs.binary("cuminlb"), [settings], log)
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
}

fn node_ip(site: Ipv4Addr, number: u32) -> IpAddr {
    let [a, b, c, d] = site.octets();
    let last = d.saturating_add(u8::try_from(number % 15).unwrap_or(0));
    IpAddr::V4(Ipv4Addr::new(a, b, c, last))
}
