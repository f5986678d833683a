//! A set of tasks, one per key, that supervisors use to match their tasks to the fleet.

use std::collections::HashMap;
use std::hash::Hash;

use log::error;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

/// The tasks of one supervisor: one per key, each with its own cancellation token.
pub(super) struct KeyedTasks<K> {
    stop: CancellationToken,
    running: HashMap<K, RunningTask>,
    tasks: JoinSet<()>,
}

struct RunningTask {
    stop: CancellationToken,
    handle: AbortHandle,
}

impl<K: Eq + Hash + Clone> KeyedTasks<K> {
    /// Creates an empty set; all of its tasks are cancelled when `stop` is.
    pub(super) fn new(stop: CancellationToken) -> Self {
        Self {
            stop,
            running: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Cancels the tasks of all keys that are not in `wanted`, and starts a task for each wanted
    /// key that has none or whose task has ended on its own.
    pub(super) fn set_keys<F>(
        &mut self,
        wanted: impl IntoIterator<Item = K>,
        mut start: impl FnMut(K, CancellationToken) -> F,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut wanted_tasks = HashMap::new();
        for key in wanted {
            let running = self.running.remove(&key);
            let running = running.filter(|task| !task.handle.is_finished());
            let running = running.unwrap_or_else(|| {
                let stop = self.stop.child_token();
                let handle = self.tasks.spawn(start(key.clone(), stop.clone()));
                RunningTask { stop, handle }
            });
            wanted_tasks.insert(key, running);
        }
        for task in std::mem::replace(&mut self.running, wanted_tasks).into_values() {
            task.stop.cancel();
        }
    }

    /// Waits until one task ends; never returns while the set is empty.
    pub(super) async fn join_next(&mut self) {
        match self.tasks.join_next().await {
            Some(Ok(())) => {}
            Some(Err(error)) => error!("a task panicked and will be restarted: {error}"),
            None => std::future::pending().await,
        }
    }

    /// Cancels all tasks and waits for them to end.
    pub(super) async fn join_all(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
