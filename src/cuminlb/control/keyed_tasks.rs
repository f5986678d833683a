//! [`KeyedTasks`].

use std::collections::HashMap;
use std::hash::Hash;

use log::error;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

/// The tasks of one supervisor: one for each key, each with a token of its own.
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
    /// Starts without any task; all tasks end when `stop` is cancelled.
    pub(super) fn new(stop: CancellationToken) -> Self {
        Self {
            stop,
            running: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Tells the tasks of all other keys to end, and starts a task for each key that has none, or
    /// whose task has ended on its own.
    pub(super) fn set_keys<F>(
        &mut self,
        wanted: impl IntoIterator<Item = K>,
        mut start: impl FnMut(K, CancellationToken) -> F,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut kept = HashMap::new();
        for key in wanted {
            let running = self.running.remove(&key);
            let running = running.filter(|task| !task.handle.is_finished());
            let running = running.unwrap_or_else(|| {
                let stop = self.stop.child_token();
                let handle = self.tasks.spawn(start(key.clone(), stop.clone()));
                RunningTask { stop, handle }
            });
            kept.insert(key, running);
        }
        for task in std::mem::replace(&mut self.running, kept).into_values() {
            task.stop.cancel();
        }
    }

    /// Waits for the end of one task; never returns while there is none.
    pub(super) async fn join_next(&mut self) {
        match self.tasks.join_next().await {
            Some(Ok(())) => {}
            Some(Err(error)) => error!("a task ended badly and is started again: {error}"),
            None => std::future::pending().await,
        }
    }

    /// Tells every task to end and waits for all of them.
    pub(super) async fn join_all(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
