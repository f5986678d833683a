//! [`GatewaySettings`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use super::{FleetBounds, LogSettings};
use crate::check::{Bounds, ConfigError, Problems, TableReader};

/// The settings of a node that runs on the users' platform.
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
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where the balancer asks whether this node takes callers.
    pub ready: SocketAddr,
    /// Where the other nodes connect.
    pub peer: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The time after which a call to the store counts as lost.
    pub store_timeout_ms: Millis,
    /// The token that every node shows to its peers.
    pub peer_token: SmolStr,
    /// The bounds that all nodes keep together.
    pub bounds: FleetBounds,
    /// How this node logs.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads the settings from the text of a file named `file`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] with every mistake of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut problems = Problems::default();
        let settings = TableReader::parse(text, &mut problems).and_then(|mut reader| {
            let settings = Self::read(&mut reader);
            reader.finish();
            settings
        });
        problems.finish(file, settings)
    }

    fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let address = "give an IP number and a port such as 10.0.0.1:8080";
        let id = reader.required("id", "name this node");
        let region = reader.required("region", "name the region of this node");
        let zone = reader.required("zone", "name the availability zone of this node");
        let zones = read_zones(reader);
        let (caller, ready, peer, metrics) = reader.section("listen", |reader| {
            (
                reader.required("caller", address),
                reader.required("ready", address),
                reader.required("peer", address),
                reader.required("metrics", address),
            )
        });
        let (store, store_timeout_ms) = reader.section("store", |reader| {
            let limits = Bounds {
                min: Millis(50),
                max: Millis(10_000),
            };
            (
                reader.required("address", address),
                reader.bounded("timeout", Millis(700), limits),
            )
        });
        let peer_token = reader.section("security", |reader| {
            reader.required::<String>("peer_token", "give a secret of 16 bytes or more")
        });
        let bounds = reader.section("bounds", FleetBounds::read);
        let log = reader.section("log", LogSettings::read);
        Some(Self {
            id: id?,
            region: region?,
            zone: zone?,
            zones,
            caller: caller?,
            ready: ready?,
            peer: peer?,
            metrics: metrics?,
            store: store?,
            store_timeout_ms,
            peer_token: peer_token?.into(),
            bounds,
            log,
        })
    }
}

/// Reads `zones`, a list of `zone=region`.
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
            None => reader.reject("zones", entry, "must read zone=region"),
        }
    }
    zones
}
