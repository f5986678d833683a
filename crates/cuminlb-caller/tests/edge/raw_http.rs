//! A caller that sends any bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer.
#[derive(Debug)]
pub struct RawAnswer {
    /// The status; 0 where the connection was closed without an answer.
    pub status: u16,
    /// The head as text.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Builds a request that closes its connection.
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
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> RawAnswer {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may close before it has read all.
        let _ = stream.write_all(bytes).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        answer
    };
    let answer = tokio::time::timeout(Duration::from_secs(20), exchange)
        .await
        .expect("the server closes the connection");
    read(&answer)
}

fn read(answer: &[u8]) -> RawAnswer {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n");
    let (head, body) = match end {
        Some(end) => (&answer[..end], &answer[end + 4..]),
        None => (answer, &[][..]),
    };
    let head = String::from_utf8_lossy(head).into_owned();
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    RawAnswer {
        status: status.unwrap_or_default(),
        head,
        body: body.to_vec(),
    }
}
