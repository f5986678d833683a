//! Tests of the stand-in for the links of a node to the instances.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cuminlb_native_standins::{LinkMode, LinkScope, NodeLinks, Store, VersionedRows};
use cuminlb_standins::StandinServer;
use cuminlb_test_support::{TestClient, wait_until};
use http::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long something is waited for that must not happen.
const WAIT: Duration = Duration::from_millis(300);

/// The links of a node to two instances, each of which sends back the bytes that it gets.
struct LinkedInstances {
    links: NodeLinks,
    addresses: [SocketAddr; 2],
    _store: StandinServer,
}

impl LinkedInstances {
    async fn start() -> Self {
        let rows = VersionedRows::default();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for number in 0..2 {
            let address = start_echo().await.to_string();
            let entry = json!({"service": format!("s{number}"), "address": address});
            rows.put("servers", &format!("i{number}"), &entry);
        }
        let links = NodeLinks::default();
        let store = Store::start_with_links(rows, any, links.clone()).await;
        let store = store.unwrap();
        let url = format!("http://{}/rows-get?table=servers", store.address());
        let client = TestClient::default();
        client.call(Method::GET, &url, &[], "").await.unwrap();
        let addresses = [
            links.addresses("i0").await[0],
            links.addresses("i1").await[0],
        ];
        Self {
            links,
            addresses,
            _store: store,
        }
    }

    async fn set(&self, mode: LinkMode) {
        self.links.set(LinkScope::All, mode).await;
    }

    /// Waits until new connections work.
    async fn wait_open(&self) {
        let address = self.addresses[0];
        wait_until("the link is open", async || {
            let connected = TcpStream::connect(address).await;
            match connected {
                Ok(mut stream) => echoes(&mut stream).await,
                Err(_) => false,
            }
        })
        .await
        .unwrap();
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        TcpStream::connect(self.addresses[0]).await
    }
}

async fn start_echo() -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

/// Returns whether a byte comes back over a connection within a while.
async fn echoes(stream: &mut TcpStream) -> bool {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    matches!(timeout(WAIT, exchange).await, Ok(Ok(b'x')))
}

/// Returns whether a connection is closed or reset within a while.
async fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(timeout(WAIT, stream.read_u8()).await, Ok(Err(_)))
}

/// Waits until a change of the mode has come into force for new connections.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(150)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hanging_link_passes_nothing_and_establishes_no_connection_until_it_is_open() {
    let instances = LinkedInstances::start().await;
    let mut open = instances.connect().await.unwrap();
    assert!(echoes(&mut open).await);
    instances.set(LinkMode::Hang).await;
    settle().await;
    assert!(!echoes(&mut open).await);
    assert!(timeout(WAIT, instances.connect()).await.is_err());
    instances.set(LinkMode::Open).await;
    instances.wait_open().await;
    assert_eq!(open.read_u8().await.unwrap(), b'x');
    assert!(echoes(&mut open).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_accepts_and_hangs_passes_nothing_until_it_is_open() {
    let instances = LinkedInstances::start().await;
    instances.set(LinkMode::HangAccepting).await;
    settle().await;
    let mut stream = instances.connect().await.unwrap();
    assert!(!echoes(&mut stream).await);
    instances.set(LinkMode::Open).await;
    assert_eq!(stream.read_u8().await.unwrap(), b'x');
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reset_link_ends_connections_and_refuses_new_ones_until_it_is_open() {
    let instances = LinkedInstances::start().await;
    let mut open = instances.connect().await.unwrap();
    assert!(echoes(&mut open).await);
    instances.set(LinkMode::Reset).await;
    let reset = timeout(WAIT, open.read_u8()).await.unwrap().unwrap_err();
    assert_eq!(reset.kind(), std::io::ErrorKind::ConnectionReset);
    settle().await;
    let refused = instances.connect().await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    instances.set(LinkMode::Open).await;
    instances.wait_open().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusing_link_keeps_open_connections_and_refuses_new_ones() {
    let instances = LinkedInstances::start().await;
    let mut open = instances.connect().await.unwrap();
    assert!(echoes(&mut open).await);
    instances.set(LinkMode::RefuseNew).await;
    settle().await;
    let refused = instances.connect().await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    assert!(echoes(&mut open).await);
    assert!(!is_closed(&mut open).await);
    instances.set(LinkMode::Open).await;
    instances.wait_open().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn links_of_one_service_or_instance_are_cut_alone() {
    let instances = LinkedInstances::start().await;
    let scopes = [
        LinkScope::Service("s0".to_owned()),
        LinkScope::Instance("i0".to_owned()),
    ];
    for scope in scopes {
        let mut cut = instances.connect().await.unwrap();
        assert!(echoes(&mut cut).await);
        instances.links.set(scope, LinkMode::HangAccepting).await;
        assert!(!echoes(&mut cut).await);
        let mut other = TcpStream::connect(instances.addresses[1]).await.unwrap();
        assert!(echoes(&mut other).await);
        instances.set(LinkMode::Open).await;
        instances.wait_open().await;
    }
}
