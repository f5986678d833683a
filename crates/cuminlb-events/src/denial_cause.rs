//! The causes of slot denials.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The reason why a group granted no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DenialCause {
    /// All slots are taken.
    Full,
    /// The owner has no fresh proof that every member is up.
    NotServing,
    /// The owner is new and still counts the requests in flight.
    Recovering,
    /// The node that received the slot request does not own the group.
    NotOwner,
    /// The epoch of the group has changed.
    EpochChanged,
    /// The owner did not respond.
    NoAnswer,
    /// Another request that is suspected of crashing groups may run at the group.
    SuspectRunning,
}

impl DenialCause {
    /// Every cause.
    pub const ALL: [Self; 7] = [
        Self::Full,
        Self::NotServing,
        Self::Recovering,
        Self::NotOwner,
        Self::EpochChanged,
        Self::NoAnswer,
        Self::SuspectRunning,
    ];
}

impl fmt::Display for DenialCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "full",
            Self::NotServing => "not_serving",
            Self::Recovering => "recovering",
            Self::NotOwner => "not_owner",
            Self::EpochChanged => "epoch_changed",
            Self::NoAnswer => "no_answer",
            Self::SuspectRunning => "suspect_running",
        })
    }
}
