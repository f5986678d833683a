//! An HTTP client that can send arbitrary bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response, split into its parts but not decoded.
#[derive(Debug)]
pub struct RawResponse {
    /// The status; 0 if the connection was closed without a response.
    pub status: u16,
    /// The status line and the headers as text.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Encodes a request with `connection: close`.
pub fn request(method: &str, path: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {}\r\n",
        body.len()
    )
    .into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Sends bytes and reads until the server closes the connection.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> RawResponse {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(bytes).await;
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        response
    };
    let response = tokio::time::timeout(Duration::from_secs(20), exchange)
        .await
        .expect("the server did not close the connection");
    parse_response(&response)
}

fn parse_response(response: &[u8]) -> RawResponse {
    let end = response.windows(4).position(|window| window == b"\r\n\r\n");
    let (head, body) = match end {
        Some(end) => (&response[..end], &response[end + 4..]),
        None => (response, &[][..]),
    };
    let head = String::from_utf8_lossy(head).into_owned();
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    RawResponse {
        status: status.unwrap_or_default(),
        head,
        body: body.to_vec(),
    }
}
