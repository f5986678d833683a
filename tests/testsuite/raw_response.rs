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

    /// Returns the status, if the head is whole.
    pub fn status(&self) -> Option<u16> {
        let (head, _) = self.text.split_once("\r\n\r\n")?;
        head.split(' ').nth(1)?.parse().ok()
    }

    /// Returns the body, if it is complete by its length or its last chunk.
    pub fn complete_body(&self) -> Option<String> {
        let (head, rest) = self.text.split_once("\r\n\r\n")?;
        let head = head.to_lowercase();
        let mut lines = head.lines();
        if let Some(length) = lines.find_map(|line| line.strip_prefix("content-length: ")) {
            return (length.parse() == Ok(rest.len())).then(|| rest.to_owned());
        }
        let mut body = String::new();
        let mut rest = rest;
        loop {
            let (size, chunk) = rest.split_once("\r\n")?;
            let size = usize::from_str_radix(size, 16).ok()?;
            if size == 0 {
                return (chunk == "\r\n").then_some(body);
            }
            body += chunk.get(..size)?;
            rest = chunk.get(size..)?.strip_prefix("\r\n")?;
        }
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
