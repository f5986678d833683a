//! [`ProbeReport`].

use cuminlb_catalog::InstanceReport;
use cuminlb_types::prelude::*;

/// What came of asking an instance how it is.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ProbeReport {
    /// The service that the instance works for.
    pub(super) service: ServiceId,
    /// The instance.
    pub(super) instance: InstanceId,
    /// Its answer, if it gave one.
    pub(super) report: Option<InstanceReport>,
}
