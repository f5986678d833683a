//! Links between nodes: authenticated, and opened again when they go silent.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::net::SocketAddr;
use std::time::Duration;

use cuminlb_events::{Event, HybridTime, NodeReport};
use cuminlb_peer::{
    ConfigDocument, EventsQuery, PeerError, PeerHandler, PeerLink, PeerStatement, PeerToken,
    RenewalAnswer, SlotAnswer, SlotRelease, SlotRenewal, SlotRequest, TableNotice, serve_peers,
};
use cuminlb_standins::{FaultProxy, LinkFault};
use cuminlb_types::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The time that one call may take.
const TIMEOUT_MS: Millis = Millis(300);

#[derive(Clone)]
struct Peer;

impl PeerHandler for Peer {
    fn exchange(&self, statement: PeerStatement) -> PeerStatement {
        statement
    }

    fn announce(&self, _: TableNotice) -> PeerStatement {
        statement()
    }

    fn config(&self) -> Option<ConfigDocument> {
        None
    }

    async fn acquire_slot(&self, _: SlotRequest) -> SlotAnswer {
        panic!("no slot is asked for")
    }

    fn release_slots(&self, _: SlotRelease) {}

    fn renew_slots(&self, _: SlotRenewal) -> RenewalAnswer {
        panic!("no slot is renewed")
    }

    fn events(&self, _: EventsQuery) -> Vec<Event> {
        Vec::new()
    }

    fn report(&self) -> NodeReport {
        panic!("no report is asked for")
    }

    fn note_received(&self, _: &'static str) {}
}

fn statement() -> PeerStatement {
    PeerStatement {
        node: "node-0".parse().unwrap(),
        incarnation: Incarnation(1),
        time: HybridTime::default(),
        config: ConfigVersion(3),
        newest_config: ConfigVersion(4),
        table_age_ms: Some(Millis(20)),
        is_silent: false,
        suspects: Vec::new(),
    }
}

fn token(text: &str) -> PeerToken {
    PeerToken::new(text.into())
}

struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve_peers(listener, token("right"), Peer, stop.clone()));
        Self {
            address,
            stop,
            task,
        }
    }

    async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}

#[tokio::test]
async fn a_wrong_token_is_refused() {
    let server = Server::start().await;
    for wrong in ["wrong", "", "right and more", "righ"] {
        let link = PeerLink::new(server.address, token(wrong), TIMEOUT_MS);
        let refused = link.exchange(statement()).await;
        assert_eq!(refused, Err(PeerError::BadToken), "{wrong}");
    }
    let link = PeerLink::new(server.address, token("right"), TIMEOUT_MS);
    assert_eq!(link.exchange(statement()).await, Ok(statement()));
    server.stop().await;
}

#[tokio::test]
async fn a_connection_that_shows_no_token_is_closed() {
    let server = Server::start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let mut bytes = [0; 8];
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read(&mut bytes));
    assert_eq!(read.await.unwrap().unwrap(), 0, "closed without a word");
    server.stop().await;
}

#[tokio::test]
async fn a_connection_that_goes_silent_is_opened_again() {
    let server = Server::start().await;
    let any = "127.0.0.1:0".parse().unwrap();
    let lossy = FaultProxy::start(any, server.address).await.unwrap();
    let link = PeerLink::new(lossy.address(), token("right"), TIMEOUT_MS);
    assert_eq!(link.exchange(statement()).await, Ok(statement()));
    lossy.silence_open_connections();
    let lost = link.exchange(statement()).await;
    assert!(matches!(lost, Err(PeerError::NoAnswer { .. })), "{lost:?}");
    assert_eq!(link.exchange(statement()).await, Ok(statement()));

    lossy.set_fault(LinkFault::Cut);
    assert!(link.exchange(statement()).await.is_err());
    assert!(link.exchange(statement()).await.is_err());
    lossy.set_fault(LinkFault::None);
    assert_eq!(link.exchange(statement()).await, Ok(statement()));
    lossy.stop().await;
    server.stop().await;
}

#[tokio::test]
async fn a_peer_that_accepts_and_stays_silent_costs_one_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = PeerLink::new(listener.local_addr().unwrap(), token("right"), TIMEOUT_MS);
    let started = Instant::now();
    let lost = link.exchange(statement()).await;
    assert!(
        matches!(lost, Err(PeerError::NotConnected { .. })),
        "{lost:?}"
    );
    assert!(started.elapsed() < Duration::from_millis(1_500));
}
