//! [`Executing`].

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A call that is under way, until it is dropped.
#[derive(Debug)]
pub(super) struct Executing<'a> {
    running: &'a Mutex<Vec<String>>,
    request: &'a str,
}

impl<'a> Executing<'a> {
    pub(super) fn start(running: &'a Mutex<Vec<String>>, request: &'a str) -> Self {
        lock(running).push(request.to_owned());
        Self { running, request }
    }
}

impl Drop for Executing<'_> {
    fn drop(&mut self) {
        let mut running = lock(self.running);
        if let Some(at) = running.iter().position(|id| id == self.request) {
            running.remove(at);
        }
    }
}

fn lock(running: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}
