//! [`serve_relay`].

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use futures_util::StreamExt;
use log::{debug, warn};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::message::{RelayedRows, SuspicionNotice};
use crate::relay_api::RelayApi;
use crate::transport::tarpc_transport;
use crate::{PeerToken, RelayHandler};

/// The number of calls of one peer that may run at once.
const MAX_CALLS_PER_PEER: usize = 64;

/// Serves peers until `stop` is cancelled; one task for each connection, all joined at the end.
pub async fn serve_relay<H: RelayHandler>(
    listener: TcpListener,
    token: PeerToken,
    handler: H,
    stop: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_peer(stream, token.clone(), handler.clone(), stop.clone());
                connections.spawn(connection);
            }
            Err(error) => warn!("a peer's connection can't be accepted: {error}"),
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn serve_peer<H: RelayHandler>(
    mut stream: TcpStream,
    token: PeerToken,
    handler: H,
    stop: CancellationToken,
) {
    let answered = tokio::select! {
        () = stop.cancelled() => return,
        answered = token.answer(&mut stream) => answered,
    };
    if let Err(error) = answered {
        debug!("a connection to the peer port was closed: {error}");
        return;
    }
    let calls = BaseChannel::with_defaults(tarpc_transport(stream));
    let calls = calls.execute(Server { handler }.serve());
    let run = calls.for_each_concurrent(MAX_CALLS_PER_PEER, |call| call);
    tokio::select! {
        () = stop.cancelled() => {}
        () = run => {}
    }
}

#[derive(Clone)]
struct Server<H> {
    handler: H,
}

impl<H: RelayHandler> RelayApi for Server<H> {
    async fn rows_since(self, _: Context, table: StoreTable, after: RowVersion) -> RelayedRows {
        self.handler.rows_since(table, after)
    }

    async fn suspect(self, _: Context, notice: SuspicionNotice) {
        self.handler.suspect(notice);
    }
}
