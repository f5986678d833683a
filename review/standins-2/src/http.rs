//! A small HTTP/1.1 server side on blocking sockets, one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// The stack of a thread that serves one connection.
const STACK_BYTES: usize = 192 << 10;

/// A request that was read as a whole.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Handles one request on a connection; returns whether the connection stays open.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool>;
}

/// Serves connections on a new port of a loopback address until the process ends.
pub fn serve(address: &str, handler: Arc<dyn Handler>) -> io::Result<SocketAddr> {
    serve_until(address, handler, Arc::default())
}

/// Serves connections until `has_crashed` is set; from the next connection on, all are refused.
pub fn serve_until(
    address: &str,
    handler: Arc<dyn Handler>,
    has_crashed: Arc<AtomicBool>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((address, 0))?;
    let bound = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            if has_crashed.load(Ordering::SeqCst) {
                return;
            }
            let handler = Arc::clone(&handler);
            spawn(move || {
                let _closed = serve_connection(stream, handler.as_ref());
            });
        }
    });
    Ok(bound)
}

/// Starts a thread with a small stack.
pub fn spawn(task: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(task).expect("a thread can be started")
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handler.handle(&request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let _method = words.next();
    let target = words.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), value.to_owned()));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

/// Writes a response whose body has a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}
