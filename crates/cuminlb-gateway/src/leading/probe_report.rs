//! The result of probing an instance.

use cuminlb_catalog::InstanceReport;
use cuminlb_types::prelude::*;

/// The result of probing an instance.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ProbeReport {
    /// The service that the instance works for.
    pub(super) service: ServiceId,
    /// The instance.
    pub(super) instance: InstanceId,
    /// Its report, or `None` if it did not respond.
    pub(super) report: Option<InstanceReport>,
}
