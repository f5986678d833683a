//! What probing an instance has shown.

use cuminlb_catalog::InstanceReport;

/// What probing an instance has shown.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ProbeResult {
    /// It has responded with its report.
    Responding(InstanceReport),
    /// It is lost.
    Lost,
    /// This node does not reach it, but other nodes do or may.
    Unknown,
}
