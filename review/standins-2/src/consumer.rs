//! Consumers: ordinary ones, and ones that read a stream slowly.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// The host of all routes.
pub const HOST: &str = "care.example";

/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// How much a slow consumer reads at once, and how long it rests then.
const SLOW_READ_BYTES: usize = 512;
const SLOW_REST: Duration = Duration::from_millis(250);

/// The receive buffer of a slow consumer.
const SLOW_BUFFER_BYTES: usize = 4 << 10;

/// Returns the head of a request without a body.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {deadline_ms}\r\nauthorization: Token {KEY}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Sends a lookup on a new connection and returns the status of the answer.
pub fn look_up(node: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
    let head = request_head("GET", "/history/x", id, 1_500);
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    let mut part = [0; 2_048];
    loop {
        let read_bytes = stream.read(&mut part)?;
        answer.extend_from_slice(&part[..read_bytes]);
        if let Some(status) = complete_status(&answer) {
            return Ok(status);
        }
        if read_bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Asks for a stream of a model on a new connection and returns the status, once the stream has ended.
pub fn ask_for_stream(node: SocketAddr, id: &str, model: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(3_000)))?;
    let head = request_head("POST", "/menu/x", id, 2_000);
    let model =
        format!("x-model: {model}\r\nx-token-count: 100,20\r\nx-prompt-prefix: a{id}:100\r\n\r\n");
    let head = head.replace("\r\n\r\n", &format!("\r\n{model}"));
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    let mut part = [0; 2_048];
    loop {
        let read_bytes = stream.read(&mut part)?;
        answer.extend_from_slice(&part[..read_bytes]);
        let text = String::from_utf8_lossy(&answer);
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let is_refused = status.is_some_and(|status: u16| status != 200);
        if is_refused && complete_status(&answer).is_some() || text.ends_with("0\r\n\r\n") {
            return status.ok_or_else(|| io::ErrorKind::InvalidData.into());
        }
        if read_bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Returns the status of an answer once its body is there as a whole.
fn complete_status(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length = lines.find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    (body.len() >= length.unwrap_or(0)).then_some(status)
}

/// Asks for a stream and reads it slowly until it ends or `stop` is set; returns how much it has read.
pub fn read_slowly(node: SocketAddr, id: &str, stop: &AtomicBool) -> io::Result<usize> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
    socket.connect(&node.into())?;
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(SLOW_REST))?;
    let head = request_head("POST", "/menu/x", id, 8_000);
    stream.write_all(head.as_bytes())?;
    let mut total_bytes = 0;
    let mut part = [0; SLOW_READ_BYTES];
    while !stop.load(Ordering::Relaxed) {
        match stream.read(&mut part) {
            Ok(0) => return Ok(total_bytes),
            Ok(read_bytes) => total_bytes += read_bytes,
            Err(error) if is_timeout(&error) => continue,
            Err(error) => return Err(error),
        }
        std::thread::sleep(SLOW_REST);
    }
    Ok(total_bytes)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
