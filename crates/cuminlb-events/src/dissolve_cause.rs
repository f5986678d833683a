//! The causes of dissolved groups.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The reason why a group stopped serving and was dissolved.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[derive(thiserror::Error)]
pub enum DissolveCause {
    /// A member sent no fresh proof that it is up.
    #[error("member {instance} is missing")]
    MemberMissing {
        /// The member.
        instance: InstanceId,
    },
    /// A member restarted and lost its partition of the model.
    #[error("member {instance} has restarted")]
    MemberRestarted {
        /// The member.
        instance: InstanceId,
    },
    /// The platform is removing a member.
    #[error("member {instance} is leaving")]
    MemberLeaving {
        /// The member.
        instance: InstanceId,
    },
    /// The fleet file specifies fewer groups or different ones.
    #[error("the fleet file no longer asks for it")]
    NotWanted,
}
