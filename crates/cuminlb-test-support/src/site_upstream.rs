//! [`SiteUpstream`].

use cuminlb_platform::InstanceRecord;

use crate::Process;

/// One engine or worker of a site.
#[derive(Debug)]
pub struct SiteUpstream {
    /// What the platform lists.
    pub record: InstanceRecord,
    /// The process.
    pub process: Process,
    pub(crate) example: &'static str,
    pub(crate) arguments: Vec<String>,
}
