//! Quarantine: a request that was running during two crashes of groups is not sent to any group
//! while both crashes count.

mod crash;
mod fingerprint;
mod quarantine_list;
mod suspect;

pub use self::crash::{Crash, CrashId};
pub use self::fingerprint::request_fingerprint;
pub use self::quarantine_list::Quarantine;
pub use self::suspect::{QUARANTINE_MS, Suspect};
