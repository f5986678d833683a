//! An engine or a worker of a running test site.

use cuminlb_platform::InstanceRecord;

use crate::Process;

/// One engine, or one worker of a plain service.
#[derive(Debug)]
pub struct SiteUpstream {
    /// The record in the platform's instance list.
    pub record: InstanceRecord,
    /// The process of the stand-in.
    pub process: Process,
    pub(crate) example: &'static str,
    pub(crate) arguments: Vec<String>,
}
