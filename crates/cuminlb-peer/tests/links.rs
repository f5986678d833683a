//! Links between nodes are authenticated, and reconnect after the connection goes silent.
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
    ConfigDocument, EventsQuery, PeerError, PeerHandler, PeerLink, PeerStatus, PeerToken,
    RenewalResponse, SlotRelease, SlotRenewal, SlotRequest, SlotResponse, TableNotice, serve_peers,
};
use cuminlb_standins::{FaultProxy, LinkFault};
use cuminlb_types::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The timeout of one call.
const CALL_TIMEOUT_MS: Millis = Millis(300);

#[derive(Clone)]
struct TestHandler;

impl PeerHandler for TestHandler {
    fn exchange(&self, status: PeerStatus) -> PeerStatus {
        status
    }

    fn announce(&self, _: TableNotice) -> PeerStatus {
        status()
    }

    fn config(&self) -> Option<ConfigDocument> {
        None
    }

    async fn acquire_slot(&self, _: SlotRequest) -> SlotResponse {
        panic!("unexpected slot request")
    }

    async fn acquire_suspect_slot(&self, _: SlotRequest) -> SlotResponse {
        panic!("unexpected slot request")
    }

    fn release_slots(&self, _: SlotRelease) {}

    fn renew_slots(&self, _: SlotRenewal) -> RenewalResponse {
        panic!("unexpected slot renewal")
    }

    fn events(&self, _: EventsQuery) -> Vec<Event> {
        Vec::new()
    }

    fn report(&self) -> NodeReport {
        panic!("unexpected report request")
    }

    fn record_received(&self, _: &'static str) {}
}

fn status() -> PeerStatus {
    PeerStatus {
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
        let task = tokio::spawn(serve_peers(
            listener,
            token("right"),
            TestHandler,
            stop.clone(),
        ));
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
async fn wrong_token_is_rejected() {
    let server = Server::start().await;
    for wrong in ["wrong", "", "right and more", "righ"] {
        let link = PeerLink::new(server.address, token(wrong), CALL_TIMEOUT_MS);
        let rejected = link.exchange(status()).await;
        assert_eq!(rejected, Err(PeerError::HandshakeFailed), "{wrong}");
    }
    let link = PeerLink::new(server.address, token("right"), CALL_TIMEOUT_MS);
    assert_eq!(link.exchange(status()).await, Ok(status()));
    server.stop().await;
}

#[tokio::test]
async fn connection_without_a_token_is_closed() {
    let server = Server::start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let mut bytes = [0; 8];
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read(&mut bytes));
    assert_eq!(
        read.await.unwrap().unwrap(),
        0,
        "the server must close without sending data"
    );
    server.stop().await;
}

#[tokio::test]
async fn link_reconnects_after_the_connection_goes_silent() {
    let server = Server::start().await;
    let any_port = "127.0.0.1:0".parse().unwrap();
    let lossy = FaultProxy::start(any_port, server.address).await.unwrap();
    let link = PeerLink::new(lossy.address(), token("right"), CALL_TIMEOUT_MS);
    assert_eq!(link.exchange(status()).await, Ok(status()));
    lossy.silence_open_connections();
    let failed = link.exchange(status()).await;
    assert!(
        matches!(failed, Err(PeerError::NoResponse { .. })),
        "{failed:?}"
    );
    assert_eq!(link.exchange(status()).await, Ok(status()));

    lossy.set_fault(LinkFault::Cut);
    assert!(link.exchange(status()).await.is_err());
    assert!(link.exchange(status()).await.is_err());
    lossy.set_fault(LinkFault::None);
    assert_eq!(link.exchange(status()).await, Ok(status()));
    lossy.stop().await;
    server.stop().await;
}

#[tokio::test]
async fn connecting_to_an_unresponsive_peer_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = PeerLink::new(
        listener.local_addr().unwrap(),
        token("right"),
        CALL_TIMEOUT_MS,
    );
    let started = Instant::now();
    let failed = link.exchange(status()).await;
    assert!(
        matches!(failed, Err(PeerError::NotConnected { .. })),
        "{failed:?}"
    );
    assert!(started.elapsed() < Duration::from_millis(1_500));
}

/// Opens a connection and presents the token.
async fn connect(server: &Server) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_u16(5).await.unwrap();
    stream.write_all(b"right").await.unwrap();
    assert_eq!(stream.read_u16().await.unwrap(), 5);
    stream.read_exact(&mut [0; 5]).await.unwrap();
    stream
}

/// Lets a time pass, with turns of all tasks before and after.
async fn pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
    tokio::time::sleep(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn a_peer_that_vanished_without_a_word_leaves_no_connection_behind() {
    let server = Server::start().await;
    let mut stream = connect(&server).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    pass(Duration::from_secs(59)).await;
    let mut byte = [0];
    assert!(stream.try_read(&mut byte).is_err(), "closed too early");
    pass(Duration::from_secs(2)).await;
    let read = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut byte));
    assert_eq!(read.await.unwrap().unwrap(), 0);
    server.stop().await;
}

#[tokio::test]
async fn a_link_that_was_unused_for_long_does_not_lose_a_call_to_its_old_connection() {
    let server = Server::start().await;
    let any_port = "127.0.0.1:0".parse().unwrap();
    let lossy = FaultProxy::start(any_port, server.address).await.unwrap();
    let link = PeerLink::new(lossy.address(), token("right"), CALL_TIMEOUT_MS);
    assert_eq!(link.exchange(status()).await, Ok(status()));
    lossy.silence_open_connections();
    pass(Duration::from_secs(31)).await;
    assert_eq!(link.exchange(status()).await, Ok(status()));
    lossy.stop().await;
    server.stop().await;
}
