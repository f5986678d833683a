//! The section `listen` of the settings file.

use std::net::SocketAddr;

use crate::check::TableReader;

/// The addresses that a node listens on. Host names are not accepted.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// The address on which callers and the platform's load balancer connect.
    pub caller: SocketAddr,
    /// The address on which operators connect.
    pub operator: SocketAddr,
    /// The address on which the other nodes connect.
    pub peer: SocketAddr,
}

impl ListenSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let hint = "give an IP address and port such as 10.0.0.1:8080";
        let caller = reader.required("caller", hint);
        let operator = reader.required("operator", hint);
        let peer = reader.required("peer", hint);
        let listen = Self {
            caller: caller?,
            operator: operator?,
            peer: peer?,
        };
        // Port 0 makes the system choose a free port, so that such addresses do not conflict.
        let addresses = [listen.caller, listen.operator, listen.peer];
        reader.check_unique("*", addresses.iter().filter(|address| address.port() != 0));
        Some(listen)
    }
}
