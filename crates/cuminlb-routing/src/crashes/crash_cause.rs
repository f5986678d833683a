//! What may have caused a crash.

use std::fmt;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What may crash the instances that respond to it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum CrashCause {
    /// A part of a prompt, whatever else the request contains.
    PromptPart(PromptPartId),
    /// A request, whenever it is repeated.
    Request(RequestFingerprint),
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PromptPart(part) => write!(f, "prompt part {part}"),
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
        }
    }
}
