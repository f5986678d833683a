//! The response of an instance to a health probe.

use crate::InstanceReport;

/// What a health probe of an instance has shown.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeResponse {
    /// The instance has reported its state.
    Report(InstanceReport),
    /// The process at the address has responded, but not with a report.
    NoReport,
    /// The connection was refused or broke.
    Failed,
    /// Nothing arrived in time. The process may have stopped for a moment, or may be unreachable.
    Silent,
}

impl ProbeResponse {
    /// Returns the report, if there is one.
    pub fn into_report(self) -> Option<InstanceReport> {
        match self {
            Self::Report(report) => Some(report),
            Self::NoReport | Self::Failed | Self::Silent => None,
        }
    }
}
