//! [`RawCaller`]: a caller that writes the bytes of its requests itself, on one connection.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::native_node::NativeNode;
use crate::native_site::{API_KEY, HOST};

/// How long a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of the receive buffer of a slow caller.
const SMALL_BUFFER_BYTES: u32 = 16 << 10;

/// The start of a response.
#[derive(Clone, Debug)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
}

/// A caller with one connection to a node.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    pub async fn connect(node: &NativeNode) -> Self {
        Self::connect_from(TcpSocket::new_v4().unwrap(), node).await
    }

    /// Connects to a node that may accept no connection any more.
    pub async fn try_connect(node: &NativeNode) -> std::io::Result<Self> {
        let stream = TcpStream::connect(node.caller_address()).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
        })
    }

    /// Connects with a receive buffer that holds only a small part of a long response.
    pub async fn connect_with_small_buffer(node: &NativeNode) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        Self::connect_from(socket, node).await
    }

    async fn connect_from(socket: TcpSocket, node: &NativeNode) -> Self {
        let stream = socket.connect(node.caller_address()).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) -> std::io::Result<()> {
        self.stream.write_all(bytes.as_ref()).await
    }

    /// Sends a request without a body and returns its response.
    pub async fn get(&mut self, path: &str, id: &str) -> Option<RawResponse> {
        let head = request_head("GET", path, id, "\r\n");
        self.write(head).await.ok()?;
        self.read_response().await
    }

    /// Reads a response; returns `None` if the connection ends before the response is complete.
    pub async fn read_response(&mut self) -> Option<RawResponse> {
        timeout(RESPONSE_TIMEOUT, self.receive()).await.unwrap()
    }

    /// Waits until the node closes the connection.
    pub async fn wait_closed(&mut self) {
        let closed = async { while self.read_more().await.is_some() {} };
        timeout(RESPONSE_TIMEOUT, closed).await.unwrap();
    }

    async fn receive(&mut self) -> Option<RawResponse> {
        let head_len = self.read_until(b"\r\n\r\n").await?;
        let head: Vec<u8> = self.received.drain(..head_len).collect();
        let head = String::from_utf8(head).unwrap().to_lowercase();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        let body_len = match length {
            Some(length) => {
                let length = length.parse().unwrap();
                while self.received.len() < length {
                    self.read_more().await?;
                }
                length
            }
            None => self.read_until(b"0\r\n\r\n").await?,
        };
        self.received.drain(..body_len);
        Some(RawResponse { status, head })
    }

    async fn read_until(&mut self, end: &[u8]) -> Option<usize> {
        loop {
            let mut windows = self.received.windows(end.len());
            if let Some(start) = windows.position(|window| window == end) {
                return Some(start + end.len());
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Option<()> {
        let read = self.stream.read_buf(&mut self.received).await;
        read.ok().filter(|len| *len > 0).map(|_| ())
    }
}

/// Returns the head of a request of the team, followed by `rest`.
pub fn request_head(method: &str, path: &str, id: &str, rest: &str) -> String {
    head_with_key(method, path, id, API_KEY, rest)
}

/// Returns the head of a request with any key, followed by `rest`.
pub fn head_with_key(method: &str, path: &str, id: &str, key: &str, rest: &str) -> String {
    let rest = format!("authorization: Token {key}\r\n{rest}");
    head_without_key(method, path, id, &rest)
}

/// Returns the head of a request without a key, followed by `rest`.
pub fn head_without_key(method: &str, path: &str, id: &str, rest: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: 8000\r\n{rest}"
    )
}
