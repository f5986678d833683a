//! Counts the bytes and the calls of a stand-in, which it reports at `GET /traffic`.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The traffic of a stand-in since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrafficReport {
    /// The number of bytes received over all connections.
    pub in_bytes: u64,
    /// The number of bytes sent over all connections.
    pub out_bytes: u64,
    /// The number of calls of each path.
    pub calls: BTreeMap<String, u64>,
}

/// Counts the traffic of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter {
    in_bytes: AtomicU64,
    out_bytes: AtomicU64,
    calls: Mutex<BTreeMap<String, u64>>,
}

impl TrafficCounter {
    /// Counts a call of `path`.
    pub(crate) fn count_call(&self, path: &str) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(path.to_owned()).or_default() += 1;
    }

    pub(crate) fn report(&self) -> TrafficReport {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        TrafficReport {
            in_bytes: self.in_bytes.load(Ordering::Relaxed),
            out_bytes: self.out_bytes.load(Ordering::Relaxed),
            calls: calls.clone(),
        }
    }
}

/// A stream wrapper that counts the bytes read and written.
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    stream: S,
    traffic: Arc<TrafficCounter>,
}

impl<S> CountingStream<S> {
    pub(crate) const fn new(stream: S, traffic: Arc<TrafficCounter>) -> Self {
        Self { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.traffic
            .in_bytes
            .fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic
                .out_bytes
                .fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
