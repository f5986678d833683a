//! [`ListenSettings`].

use std::net::SocketAddr;

use crate::check::TableReader;

/// The addresses that a node listens on, by IP number.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Where callers and the platform's balancer connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where the other nodes connect.
    pub peer: SocketAddr,
}

impl ListenSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let hint = "give an IP number and a port such as 10.0.0.1:8080";
        let caller = reader.required("caller", hint);
        let operator = reader.required("operator", hint);
        let peer = reader.required("peer", hint);
        let listen = Self {
            caller: caller?,
            operator: operator?,
            peer: peer?,
        };
        let all = [listen.caller, listen.operator, listen.peer];
        reader.check_unique("*", all.iter().filter(|address| address.port() != 0));
        Some(listen)
    }
}
