//! The section `platform` of the settings file.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// The addresses of the platform's services and the timeout of calls to them.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address of the transactional table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the service that lists live and leaving instances.
    pub instances: SocketAddr,
    /// The timeout of a call.
    pub timeout_ms: Millis,
}

impl PlatformSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let hint = "give the IP address and port of the platform's service";
        let table = reader.required("table", hint);
        let objects = reader.required("objects", hint);
        let instances = reader.required("instances", hint);
        let bounds = Bounds {
            min: Millis(50),
            max: Millis(10_000),
        };
        let timeout_ms = reader.bounded("timeout", Millis(1_000), bounds);
        Some(Self {
            table: table?,
            objects: objects?,
            instances: instances?,
            timeout_ms,
        })
    }
}
