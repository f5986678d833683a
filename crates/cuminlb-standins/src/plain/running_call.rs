//! A guard that lists a request as running while its call is executed.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A call in flight; dropping it removes the request from the list of running ones.
#[derive(Debug)]
pub(super) struct RunningCall<'a> {
    running: &'a Mutex<Vec<String>>,
    request: &'a str,
}

impl<'a> RunningCall<'a> {
    pub(super) fn start(running: &'a Mutex<Vec<String>>, request: &'a str) -> Self {
        lock(running).push(request.to_owned());
        Self { running, request }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        let mut running = lock(self.running);
        if let Some(index) = running.iter().position(|id| id == self.request) {
            running.remove(index);
        }
    }
}

fn lock(running: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}
