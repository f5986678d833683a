//! What another node says of an instance that this node does not reach.

use serde::{Deserialize, Serialize};

/// What another node says of an instance that this node does not reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SecondOpinion {
    /// It reaches the instance, which holds the seat that was asked about.
    Reached,
    /// It reaches other instances, but not this one, or the instance no longer holds the seat.
    Lost,
    /// It reaches no instance at present, or does not know this one.
    Unknown,
}
