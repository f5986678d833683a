//! [`LineWriter`].

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// The lines that wait for their reader at most; more are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;

/// Writes lines to the standard output from a thread of its own, so that a reader that stops
/// reading costs lines and never time.
#[derive(Debug)]
pub(super) struct LineWriter {
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

impl LineWriter {
    /// Starts the thread, which ends when the writer is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be started.
    pub(super) fn start() -> io::Result<Self> {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting))?;
        Ok(Self {
            lines,
            dropped: AtomicU64::new(0),
        })
    }

    /// Hands a line over, or counts it as dropped.
    pub(super) fn write(&self, line: String) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            let told = format!("{{\"message\":\"log lines dropped\",\"count\":{dropped}}}\n");
            if self.lines.try_send(told).is_ok() {
                self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            }
        }
        match self.lines.try_send(line) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Writes what waits in one go, so that a burst of lines is one system call.
fn write_lines(waiting: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(mut text) = waiting.recv() {
        while let Ok(more) = waiting.try_recv() {
            text.push_str(&more);
        }
        if out.write_all(text.as_bytes()).is_err() || out.flush().is_err() {
            return;
        }
    }
}
