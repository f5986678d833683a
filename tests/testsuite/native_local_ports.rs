//! Tests of nodes on the users' platform: connections to the ports for readiness and metrics that fall
//! silent.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::native_node::{METRICS_PORT, READY_PORT};
use crate::native_site::NativeSite;

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// How long after its last byte a silent connection must have been closed at the latest.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// How long a connection that is closed takes at most to show it.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of requests of a caller that reads no response, and the size of its buffer.
const UNREAD_REQUESTS: usize = 4_000;
const SMALL_BUFFER_BYTES: u32 = 4 << 10;

fn ports(site: &NativeSite) -> [SocketAddr; 2] {
    [READY_PORT, METRICS_PORT].map(|port| SocketAddr::from((site.nodes[0].address, port)))
}

/// Returns whether a node closes a connection within a time.
async fn is_closed(mut stream: TcpStream, time: Duration) -> bool {
    let mut sink = Vec::new();
    timeout(time, stream.read_to_end(&mut sink)).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_a_local_port_is_closed() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let starts = [
        "",
        "GET /ready HTTP/1.1\r\nhost: n",
        "GET / HTTP/1.1\r\nhost: n\r\n\r\n",
    ];
    let mut connections = Vec::new();
    for address in ports(&site) {
        for start in starts {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(start.as_bytes()).await.unwrap();
            connections.push(async move {
                let is_closed = is_closed(stream, MAX_SILENCE).await;
                assert!(is_closed, "{address} {start:?}");
            });
        }
    }
    join_all(connections).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_a_local_port_that_reads_nothing_is_closed() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let connections = ports(&site).map(|address| async move {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        let mut stream = socket.connect(address).await.unwrap();
        let requests = "GET / HTTP/1.1\r\nhost: n\r\n\r\n".repeat(UNREAD_REQUESTS);
        // The node stops reading when it can't write.
        let _ = timeout(READ_TIMEOUT, stream.write_all(requests.as_bytes())).await;
        sleep(MAX_SILENCE).await;
        assert!(is_closed(stream, READ_TIMEOUT).await, "{address}");
    });
    join_all(connections).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_a_local_port_that_is_used_each_second_stays_open() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let mut stream = TcpStream::connect(ports(&site)[0]).await.unwrap();
    for _ in 0..8 {
        let request = "GET /ready HTTP/1.1\r\nhost: n\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\n") {
            response.push(stream.read_u8().await.unwrap());
        }
        assert!(response.starts_with(b"HTTP/1.1 200"));
        sleep(Duration::from_secs(1)).await;
    }
    let ready_url = site.nodes[0].ready_url();
    let response = site.client.call(Method::GET, &ready_url, &[], "").await;
    assert_eq!(response.unwrap().status, StatusCode::OK);
}
