//! The server side of the calls between nodes.

use cuminlb_events::{Event, NodeReport};
use futures_util::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept_peers::accept_peers;
use crate::message::{
    ConfigDocument, EventsQuery, PeerStatus, RenewalResponse, SlotRelease, SlotRenewal,
    SlotRequest, SlotResponse, TableNotice,
};
use crate::transport::tarpc_transport;
use crate::{PeerApi, PeerHandler, PeerToken};

/// The maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 4_096;

/// Serves peers until `stop` is cancelled.
///
/// Each connection has a task of its own; all tasks are joined before this function returns.
pub async fn serve_peers<H: PeerHandler>(
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

impl<H: PeerHandler> PeerApi for Server<H> {
    async fn exchange(self, _: Context, status: PeerStatus) -> PeerStatus {
        self.handler.record_received("exchange");
        self.handler.exchange(status)
    }

    async fn announce(self, _: Context, notice: TableNotice) -> PeerStatus {
        self.handler.record_received("announce");
        self.handler.announce(notice)
    }

    async fn config(self, _: Context) -> Option<ConfigDocument> {
        self.handler.record_received("config");
        self.handler.config()
    }

    async fn acquire_slot(self, _: Context, request: SlotRequest) -> SlotResponse {
        self.handler.record_received("acquire_slot");
        self.handler.acquire_slot(request).await
    }

    async fn release_slots(self, _: Context, release: SlotRelease) {
        self.handler.record_received("release_slots");
        self.handler.release_slots(release);
    }

    async fn renew_slots(self, _: Context, renewal: SlotRenewal) -> RenewalResponse {
        self.handler.record_received("renew_slots");
        self.handler.renew_slots(renewal)
    }

    async fn events(self, _: Context, query: EventsQuery) -> Vec<Event> {
        self.handler.record_received("events");
        self.handler.events(query)
    }

    async fn report(self, _: Context) -> NodeReport {
        self.handler.record_received("report");
        self.handler.report()
    }

    async fn acquire_suspect_slot(self, _: Context, request: SlotRequest) -> SlotResponse {
        self.handler.record_received("acquire_suspect_slot");
        self.handler.acquire_suspect_slot(request).await
    }
}
