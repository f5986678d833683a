//! [`DissolveCause`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The reason why a group stopped serving and was dissolved.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[derive(thiserror::Error)]
pub enum DissolveCause {
    /// A member gave no proof that it is up.
    #[error("member {instance} is missing")]
    MemberMissing {
        /// The member.
        instance: InstanceId,
    },
    /// A member started anew and has lost its part of the model.
    #[error("member {instance} has restarted")]
    MemberRestarted {
        /// The member.
        instance: InstanceId,
    },
    /// The platform takes a member away.
    #[error("member {instance} is leaving")]
    MemberLeaving {
        /// The member.
        instance: InstanceId,
    },
    /// The fleet file asks for fewer groups, or for other ones.
    #[error("the fleet file no longer asks for it")]
    NotWanted,
}
