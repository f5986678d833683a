//! Fault injection into the stand-ins, their traffic counters and the platform's instance list.

use std::net::SocketAddr;

use cuminlb_platform::{InstanceRecord, InstanceRole, InstanceState};
use cuminlb_standins::{Fault, TrafficReport};
use cuminlb_types::prelude::*;
use http::Method;
use serde_json::json;

use crate::http_client::parse_response;
use crate::site_files::PLATFORM_PORT;
use crate::{Site, SiteError, SiteNode};

impl Site {
    /// Sets the fault that the platform simulates.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the platform does not respond.
    pub async fn set_platform_fault(&self, fault: Fault) -> Result<(), SiteError> {
        self.set_fault(SocketAddr::from((self.ip, PLATFORM_PORT)), fault)
            .await
    }

    /// Sets the fault that an engine or a worker simulates.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the upstream does not respond.
    pub async fn set_upstream_fault(&self, upstream: usize, fault: Fault) -> Result<(), SiteError> {
        self.set_fault(self.upstreams[upstream].record.address, fault)
            .await
    }

    /// Returns the traffic counters of the platform.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the platform does not respond.
    pub async fn platform_traffic(&self) -> Result<TrafficReport, SiteError> {
        let url = format!("http://{}:{PLATFORM_PORT}/traffic", self.ip);
        parse_response(&self.client.call(Method::GET, &url, &[], "").await?)
    }

    /// Returns the traffic counters of an engine or a worker.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the upstream does not respond.
    pub async fn upstream_traffic(&self, upstream: usize) -> Result<TrafficReport, SiteError> {
        parse_response(
            &self
                .call_upstream(upstream, Method::GET, "/traffic")
                .await?,
        )
    }

    /// Marks an instance as leaving in the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the platform does not respond.
    pub async fn mark_leaving(&mut self, upstream: usize) -> Result<(), SiteError> {
        self.upstreams[upstream].record.state = InstanceState::Leaving;
        self.publish_instances().await
    }

    /// Publishes the nodes and upstreams in the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if the platform does not respond.
    pub async fn publish_instances(&self) -> Result<(), SiteError> {
        self.publish_instances_to(self.platform_address(), &self.records())
            .await
    }

    /// Returns the records of the instance list: the nodes, then the upstreams.
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

    /// Publishes records in the instance list of any platform, such as a second one.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if that platform does not respond.
    pub async fn publish_instances_to(
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

    pub(crate) async fn set_fault(
        &self,
        address: SocketAddr,
        fault: Fault,
    ) -> Result<(), SiteError> {
        let url = format!("http://{address}/fault");
        self.client
            .call(Method::PUT, &url, &[], json!(fault).to_string())
            .await?;
        Ok(())
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
