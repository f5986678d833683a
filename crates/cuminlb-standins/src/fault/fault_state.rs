//! The current fault of a stand-in, shared by its connections.

use tokio::sync::watch;

use super::Fault;

/// The current fault of one stand-in; its connections observe every change.
#[derive(Clone, Debug)]
pub struct FaultState {
    fault: watch::Sender<Fault>,
}

impl Default for FaultState {
    fn default() -> Self {
        Self {
            fault: watch::Sender::new(Fault::None),
        }
    }
}

impl FaultState {
    /// Replaces the current fault.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Returns the current fault.
    pub fn get(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Waits until the current fault fulfills a condition.
    pub(crate) async fn wait_for(&self, condition: impl FnMut(&Fault) -> bool) {
        let mut fault = self.fault.subscribe();
        // `wait_for` fails only if the sender has been dropped, and `self` owns the sender.
        let _ = fault.wait_for(condition).await;
    }

    /// Waits until the stand-in is no longer paused, then for the delay of [`Fault::Slow`].
    pub(crate) async fn apply_delay(&self) {
        self.wait_for(|fault| *fault != Fault::Paused).await;
        let delay = match self.get() {
            Fault::Slow { delay_ms } => delay_ms.duration(),
            _ => return,
        };
        tokio::time::sleep(delay).await;
    }
}
