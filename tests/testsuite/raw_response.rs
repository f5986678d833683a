//! All bytes of a response as a caller receives them, whether it is complete or not.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::native_site::{API_KEY, HOST, NativeSite};

/// What a caller has received for a request, up to the end of its connection.
#[derive(Clone, Debug)]
pub struct RawResponse {
    pub text: String,
}

impl RawResponse {
    /// Returns whether the response has ended as a complete one.
    pub fn is_complete(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }

    /// Returns the ids of the events.
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}

/// Sends a request to the first node and returns all bytes of the response.
pub async fn send_raw(site: &NativeSite, prefix: &str, id: &str) -> RawResponse {
    let url = site.nodes[0].url("");
    let address = url.strip_prefix("http://").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET {prefix}x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n\
         authorization: Token {API_KEY}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset tells that the response was aborted.
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    RawResponse { text }
}
