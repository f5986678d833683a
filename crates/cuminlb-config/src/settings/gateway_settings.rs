//! The settings file of a gateway node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cuminlb_types::prelude::*;

use super::{FleetBounds, LoadSettings, LogSettings, MachineSettings, Secret};
use crate::check::{Bounds, ConfigError, Problems, TableReader};

/// The settings of a gateway node, which runs on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The id of this node.
    pub id: NodeId,
    /// The region that this node runs in.
    pub region: RegionId,
    /// The availability zone that this node runs in.
    pub zone: ZoneId,
    /// The region of each availability zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The address on which callers connect.
    pub caller: SocketAddr,
    /// The address on which the load balancer checks whether this node accepts callers.
    pub ready: SocketAddr,
    /// The address on which the other nodes connect.
    pub peer: SocketAddr,
    /// The address on which this node forwards requests of the other nodes, if it does.
    pub forwarding: Option<SocketAddr>,
    /// The address on which metrics are scraped.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The timeout of a call to the store.
    pub store_timeout_ms: Millis,
    /// The token with which a node authenticates to its peers.
    pub peer_token: Secret,
    /// The fleet-wide limits and the timing of the platform.
    pub bounds: FleetBounds,
    /// How the node handles heavy load.
    pub load: LoadSettings,
    /// What the machine can bear.
    pub machine: MachineSettings,
    /// The logging configuration.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Parses the text of a settings file; `file` is its name in the error.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] with all problems of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut problems = Problems::default();
        let settings = TableReader::parse(text, &mut problems).and_then(|mut reader| {
            let settings = Self::read(&mut reader);
            reader.report_unknown_keys();
            settings
        });
        problems.into_result(file, settings)
    }

    fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let hint = "give an IP address and port such as 10.0.0.1:8080";
        let id = reader.required("id", "name this node");
        let region = reader.required("region", "name the region of this node");
        let zone = reader.required("zone", "name the availability zone of this node");
        let zones = read_zones(reader);
        let (caller, ready, peer, forwarding, metrics) = reader.section("listen", |reader| {
            (
                reader.required("caller", hint),
                reader.required("ready", hint),
                reader.required("peer", hint),
                reader.optional("forwarding"),
                reader.required("metrics", hint),
            )
        });
        let (store, store_timeout_ms) = reader.section("store", |reader| {
            let timeout_bounds = Bounds {
                min: Millis(50),
                max: Millis(10_000),
            };
            (
                reader.required("address", hint),
                reader.bounded("timeout", Millis(700), timeout_bounds),
            )
        });
        let peer_token = reader.section("security", |reader| Secret::read(reader, "peer_token"));
        let bounds = reader.section("bounds", FleetBounds::read);
        let load = reader.section("load", LoadSettings::read);
        let machine = reader.section("machine", MachineSettings::read);
        let log = reader.section("log", LogSettings::read);
        Some(Self {
            id: id?,
            region: region?,
            zone: zone?,
            zones,
            caller: caller?,
            ready: ready?,
            peer: peer?,
            forwarding,
            metrics: metrics?,
            store: store?,
            store_timeout_ms,
            peer_token: peer_token?,
            bounds,
            load,
            machine,
            log,
        })
    }
}

/// Reads `zones`, a list of strings of the form `zone=region`.
fn read_zones(reader: &mut TableReader<'_>) -> BTreeMap<ZoneId, RegionId> {
    let mut zones = BTreeMap::new();
    for entry in reader.list::<String>("zones") {
        let pair = entry.split_once('=').and_then(|(zone, region)| {
            Some((
                zone.parse::<ZoneId>().ok()?,
                region.parse::<RegionId>().ok()?,
            ))
        });
        match pair {
            Some((zone, region)) => {
                zones.insert(zone, region);
            }
            None => reader.reject("zones", entry, "must have the form zone=region"),
        }
    }
    zones
}
