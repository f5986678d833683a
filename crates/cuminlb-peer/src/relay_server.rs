//! The server side of the calls between nodes that follow a platform's store.

use cuminlb_routing::{CrashReport, InFlightCount, SecondOpinion};
use cuminlb_types::prelude::*;
use futures_util::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept_peers::accept_peers;
use crate::message::{
    ChunkRequest, GroupHealth, InstanceQuery, LoadReport, RelayedUpdate, SuspicionNotice,
    TableCursors, ValueChunk,
};
use crate::relay_api::RelayApi;
use crate::transport::tarpc_transport;
use crate::{PeerToken, RelayHandler};

/// The maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Serves peers until `stop` is cancelled.
///
/// Each connection has a task of its own; all tasks are joined before this function returns.
pub async fn serve_relay<H: RelayHandler>(
    listener: TcpListener,
    token: PeerToken,
    handler: H,
    stop: CancellationToken,
) {
    accept_peers(listener, token, stop, move |stream| {
        let channel = BaseChannel::with_defaults(tarpc_transport(stream));
        let server = Server {
            handler: handler.clone(),
        };
        channel
            .execute(server.serve())
            .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
    })
    .await;
}

#[derive(Clone)]
struct Server<H> {
    handler: H,
}

impl<H: RelayHandler> RelayApi for Server<H> {
    async fn await_update(
        self,
        _: Context,
        cursors: TableCursors,
        wait_ms: Millis,
    ) -> RelayedUpdate {
        self.handler.await_update(cursors, wait_ms).await
    }

    async fn read_chunks(self, _: Context, request: ChunkRequest) -> Vec<ValueChunk> {
        self.handler.read_chunks(&request)
    }

    async fn exchange_loads(self, _: Context, report: LoadReport) -> Vec<InFlightCount> {
        self.handler.exchange_loads(report)
    }

    async fn check_group(self, _: Context, notice: SuspicionNotice) -> GroupHealth {
        self.handler.check_group(notice).await
    }

    async fn suspect(self, _: Context, notice: SuspicionNotice) {
        self.handler.suspect(notice);
    }

    async fn exchange_crashes(self, _: Context, report: CrashReport) -> CrashReport {
        self.handler.exchange_crashes(&report)
    }

    async fn examine_instance(self, _: Context, query: InstanceQuery) -> SecondOpinion {
        self.handler.examine_instance(query).await
    }
}
