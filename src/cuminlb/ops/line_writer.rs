//! Writes log lines to the standard output without blocking the threads that log.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// The maximum number of lines that are queued for writing; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Writes lines to the standard output from a dedicated thread.
///
/// If the process that reads the output stops reading, lines are dropped, but the threads that log
/// are never blocked.
#[derive(Debug)]
pub(super) struct LineWriter {
    sender: SyncSender<String>,
    dropped: AtomicU64,
}

impl LineWriter {
    /// Starts the writer thread, which ends when the writer is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread can't be started.
    pub(super) fn start() -> io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver))?;
        Ok(Self {
            sender,
            dropped: AtomicU64::new(0),
        })
    }

    /// Queues a line for writing, or counts it as dropped if the queue is full.
    ///
    /// After lines were dropped, a line with their number is queued as soon as there is capacity.
    pub(super) fn write(&self, line: String) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            let notice = format!("{{\"message\":\"log lines dropped\",\"count\":{dropped}}}\n");
            if self.sender.try_send(notice).is_ok() {
                self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            }
        }
        match self.sender.try_send(line) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Writes all queued lines at once, so that a burst of lines takes a single system call.
fn write_lines(receiver: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = receiver.recv() {
        while let Ok(line) = receiver.try_recv() {
            batch.push_str(&line);
        }
        if out.write_all(batch.as_bytes()).is_err() || out.flush().is_err() {
            return;
        }
    }
}
