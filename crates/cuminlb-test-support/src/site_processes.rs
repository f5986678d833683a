//! Starts and restarts the processes of a site.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cuminlb_platform::{InstanceRecord, InstanceRole, InstanceState};
use cuminlb_types::prelude::*;

use crate::site_files::{FIRST_UPSTREAM_PORT, PEER_PORT, PLATFORM_PORT, node_settings};
use crate::{ModelPlan, PlainPlan, Process, Site, SiteError, SiteNode, SiteUpstream};

impl Site {
    pub(crate) fn start_upstreams(&mut self) -> Result<(), SiteError> {
        let plan = self.plan.clone();
        for model in &plan.model_services {
            let spares_per_zone = model
                .spares
                .div_ceil(u32::try_from(plan.zones.len()).unwrap_or(1));
            for replica in 0..model.replicas {
                let zone = &plan.zones[replica as usize % plan.zones.len()];
                (0..model.members).try_for_each(|_| self.start_engine(model, zone))?;
            }
            for spare in 0..model.spares {
                let zone = &plan.zones[(spare / spares_per_zone) as usize % plan.zones.len()];
                self.start_engine(model, zone)?;
            }
        }
        for plain in &plan.plain_services {
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
        let process = self.spawn_upstream(&record, example, &arguments)?;
        self.upstreams.push(SiteUpstream {
            record,
            process,
            example,
            arguments,
        });
        Ok(())
    }

    pub(crate) fn spawn_upstream(
        &self,
        record: &InstanceRecord,
        example: &str,
        arguments: &[String],
    ) -> Result<Process, SiteError> {
        let log = self.dir.path().join(format!("{}.log", record.id));
        Process::start(&self.programs.example(example), arguments, log)
    }

    #[expect(
        clippy::expect_used,
        reason = "the names and numbers of a test site form valid ids"
    )]
    pub(crate) fn upstream_record(&self, service: &str, zone: &str) -> InstanceRecord {
        let index = u16::try_from(self.upstreams.len()).expect("few upstreams");
        let id = format!("{service}-i{index}");
        InstanceRecord {
            id: id.parse().expect("a valid id"),
            role: InstanceRole::Upstream {
                service: service.parse().expect("a valid id"),
            },
            address: SocketAddr::from((self.ip, FIRST_UPSTREAM_PORT + index)),
            zone: zone.parse().expect("a valid id"),
            domain: format!("{zone}-fabric").parse().expect("a valid id"),
            accelerators: AcceleratorCount(8),
            state: InstanceState::Live,
        }
    }

    pub(crate) fn start_nodes(&mut self) -> Result<(), SiteError> {
        for index in 0..self.plan.nodes {
            let id = format!("node-{index}");
            let zone = self.plan.zones[index as usize % self.plan.zones.len()].clone();
            let ip = node_ip(self.ip, index);
            let platform = SocketAddr::from((self.ip, PLATFORM_PORT));
            let settings = node_settings(&self.plan, &id, &zone, ip, platform);
            let path = self.dir.path().join(format!("{id}.toml"));
            let io_error = |source| SiteError::Io {
                context: path.display().to_string(),
                source,
            };
            std::fs::write(&path, settings).map_err(io_error)?;
            let process = self.spawn_node(&id)?;
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

    pub(crate) fn spawn_node(&self, id: &str) -> Result<Process, SiteError> {
        let settings = self.dir.path().join(format!("{id}.toml"));
        let log = self.dir.path().join(format!("{id}.log"));
        Process::start(&self.programs.binary("cuminlb"), [settings], log)
    }

    /// Starts a new process for a node whose process has exited.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if the process can't be started.
    pub fn restart_node(&mut self, node: usize) -> Result<(), SiteError> {
        let id = self.nodes[node].id.clone();
        self.nodes[node].process = self.spawn_node(&id)?;
        Ok(())
    }

    /// Restarts a node with other addresses of the platform: `table` for the table and the object
    /// store, `instances` for the instance list.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if the settings can't be changed or the process can't be started.
    pub async fn restart_node_with_endpoints(
        &mut self,
        node: usize,
        table: SocketAddr,
        instances: SocketAddr,
    ) -> Result<(), SiteError> {
        let id = self.nodes[node].id.clone();
        let path = self.dir.path().join(format!("{id}.toml"));
        let io_error = |source| SiteError::Io {
            context: path.display().to_string(),
            source,
        };
        let platform = self.platform_address();
        let settings = std::fs::read_to_string(&path).map_err(io_error)?;
        let settings = settings
            .replace(
                &format!("instances = \"{platform}\""),
                &format!("instances = \"{instances}\""),
            )
            .replace(&format!("\"{platform}\""), &format!("\"{table}\""));
        std::fs::write(&path, settings).map_err(io_error)?;
        self.nodes[node].process.kill().await;
        self.restart_node(node)
    }

    /// Kills an engine or a worker and starts a new process with the same arguments.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if the process can't be started.
    pub async fn restart_upstream(&mut self, upstream: usize) -> Result<(), SiteError> {
        self.upstreams[upstream].process.kill().await;
        let SiteUpstream {
            record,
            example,
            arguments,
            ..
        } = &self.upstreams[upstream];
        let process = self.spawn_upstream(record, example, arguments)?;
        self.upstreams[upstream].process = process;
        Ok(())
    }
}

fn node_ip(site: Ipv4Addr, index: u32) -> IpAddr {
    let [a, b, c, d] = site.octets();
    let last = d.saturating_add(u8::try_from(index % 15).unwrap_or(0));
    IpAddr::V4(Ipv4Addr::new(a, b, c, last))
}
