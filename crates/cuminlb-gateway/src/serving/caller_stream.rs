//! The TCP stream of a caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::caller_connection::CallerConnection;

/// A TCP stream that records what is received and sent, and whose reader needs only a small buffer.
///
/// Reading fails if a head is longer than `max_head_len`, which may change, or can't be held.
#[derive(Debug)]
pub(super) struct CallerStream<L> {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    max_head_len: L,
}

impl<L: Fn() -> usize> CallerStream<L> {
    pub(super) const fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        max_head_len: L,
    ) -> Self {
        Self {
            stream,
            connection,
            max_head_len,
        }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Returns how much may be read into a buffer with room for `remaining_bytes`, and whether that belongs
    /// to a head.
    fn poll_room(
        &self,
        cx: &Context<'_>,
        remaining_bytes: usize,
    ) -> Poll<io::Result<(usize, bool)>> {
        let has_request = self.connection.activity().has_request();
        if has_request {
            return Poll::Ready(Ok((self.connection.body_room(remaining_bytes), false)));
        }
        let max_head_len = (self.max_head_len)();
        let room = ready!(self.connection.head().poll_room(cx, max_head_len));
        Poll::Ready(room.map(|room| (room, true)).map_err(io::Error::other))
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let mut activity = self.connection.activity();
        if let Poll::Ready(Ok(1..)) = written {
            activity.record_progress(Instant::now());
        } else {
            activity.record_sending(Instant::now());
        }
    }
}

impl<L: Fn() -> usize + Unpin> AsyncRead for CallerStream<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Nothing is held for a head of which no more has arrived.
        ready!(self.stream.poll_read_ready(cx))?;
        let (room, is_head) = ready!(self.poll_room(cx, buffer.remaining()))?;
        let max_bytes = buffer.remaining().min(room);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read_bytes = part.filled().len();
        if is_head {
            self.connection.head().record_read(read_bytes);
        }
        ready!(read)?;
        if read_bytes > 0 {
            buffer.advance(read_bytes);
            self.connection.activity().record_received(Instant::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl<L: Fn() -> usize + Unpin> AsyncWrite for CallerStream<L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Is called after all bytes have been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.activity().record_sent(Instant::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
