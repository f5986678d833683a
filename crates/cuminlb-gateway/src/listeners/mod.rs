//! The addresses that a node listens on.

mod local_listeners;
mod request_listeners;

use std::net::SocketAddr;

use cuminlb_config::GatewaySettings;
use smol_str::ToSmolStr;
use tokio::net::TcpListener;

pub(crate) use self::local_listeners::LocalListeners;
pub(crate) use self::request_listeners::RequestListeners;
use crate::GatewayError;

/// The listeners of a node.
#[derive(Debug)]
pub(crate) struct Listeners {
    /// For the load balancer, the metrics reader and the calls between nodes.
    pub(crate) local: LocalListeners,
    /// For requests.
    pub(crate) requests: RequestListeners,
}

impl Listeners {
    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns [`GatewayError::Bind`] if an address can't be listened on.
    pub(crate) async fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let requests = RequestListeners {
            caller: bind(settings.caller).await?,
            forwarding: match settings.forwarding {
                Some(address) => Some(bind(address).await?),
                None => None,
            },
        };
        let local = LocalListeners {
            ready: bind(settings.ready).await?,
            metrics: bind(settings.metrics).await?,
            peer: bind(settings.peer).await?,
        };
        Ok(Self { local, requests })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|error| {
        let reason = error.to_smolstr();
        GatewayError::Bind { address, reason }
    })
}
