//! Quarantine: a request that was running at a group during two crashes is not sent to another
//! group.

mod crash;
mod fingerprint;
mod quarantine_list;
mod suspect;

pub use self::crash::{Crash, CrashId};
pub use self::fingerprint::request_fingerprint;
pub use self::quarantine_list::Quarantine;
pub use self::suspect::{QUARANTINE_MS, Suspect};
