//! Keeps requests that crash instances from being sent.

use cuminlb_routing::{CrashVerdict, Refusal, RefusalKind};
use log::info;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use crate::gateway::Gateway;

impl Gateway {
    /// Records that an instance responds to a request, which proves that nothing in it crashes
    /// instances.
    pub(super) fn record_success(&self, request: &AdmittedRequest) {
        self.crash_board
            .record_success(&request.crash_causes, Instant::now());
    }

    /// Returns whether a request that has been sent before must not be sent again.
    pub(super) fn is_quarantined(&self, request: &AdmittedRequest) -> bool {
        self.crash_board.is_quarantined(&request.crash_causes)
    }

    /// Decides whether a request may be sent, and marks it if it is a probe.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it must not be sent.
    pub(super) fn allow_or_refuse(&self, request: &mut AdmittedRequest) -> Result<(), Refusal> {
        let directory = self.knowledge.directory();
        let verdict = self.crash_board.verdict(
            &request.crash_causes,
            &self.settings.id,
            directory.nodes.keys(),
            Instant::now(),
        );
        match verdict {
            CrashVerdict::Allowed => Ok(()),
            CrashVerdict::Probe { cause } => {
                info!(request:% = request.head.id, cause:% = cause; "quarantined cause probed");
                request.is_probe = true;
                Ok(())
            }
            CrashVerdict::Quarantined {
                cause,
                retry_after_ms,
            } => {
                self.metrics.quarantine_refusals.inc();
                let refusal = Refusal::not_run(RefusalKind::CrashSuspected { cause });
                Err(refusal.with_retry_after(retry_after_ms))
            }
        }
    }
}
