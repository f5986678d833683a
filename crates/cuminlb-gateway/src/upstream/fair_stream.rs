//! A TCP stream that leaves time to other tasks.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How much is read in one turn of the task that reads.
const MAX_TURN_BYTES: usize = 16 << 10;

/// A TCP stream of which only a limited amount is read in one turn of the task that reads, so that an
/// instance that sends without end delays neither other tasks nor its own cancellation.
#[derive(Debug)]
pub(super) struct FairStream {
    stream: TcpStream,
    /// The number of bytes that were read in this turn.
    turn_bytes: usize,
}

impl FairStream {
    pub(super) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            turn_bytes: 0,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_bytes = buffer.remaining().min(MAX_TURN_BYTES - self.turn_bytes);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        match read {
            Poll::Ready(_) => self.turn_bytes += read_bytes,
            Poll::Pending => self.turn_bytes = 0,
        }
        read
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
