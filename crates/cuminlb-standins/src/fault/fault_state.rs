//! [`FaultState`].

use tokio::sync::watch;

use super::Fault;

/// The fault of one stand-in, which its connections watch.
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
    /// Switches the fault.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Returns the present fault.
    pub fn get(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Waits while the stand-in is paused, and for the delay of a slow one.
    pub(crate) async fn hold(&self) {
        let mut fault = self.fault.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = fault.wait_for(|fault| *fault != Fault::Paused).await;
        let delay = match self.get() {
            Fault::Slow { delay_ms } => delay_ms.duration(),
            _ => return,
        };
        tokio::time::sleep(delay).await;
    }
}
