//! The result of probing an instance.

use cuminlb_types::prelude::*;

use super::probe_result::ProbeResult;

/// The result of probing an instance.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ProbeReport {
    /// The service that the instance works for.
    pub(super) service: ServiceId,
    /// The instance.
    pub(super) instance: InstanceId,
    /// What the probe has shown.
    pub(super) result: ProbeResult,
}
