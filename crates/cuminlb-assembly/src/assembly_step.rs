//! [`AssemblyStep`].

use cuminlb_catalog::CloseMode;
use cuminlb_types::prelude::*;

/// Something that the leader does now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssemblyStep {
    /// Tell the head of a group to stop serving.
    Close {
        /// The head.
        head: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// What becomes of the requests that run.
        mode: CloseMode,
    },
    /// Tell a member to leave a group whose head answers nothing.
    Leave {
        /// The member.
        member: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Tell the head of a group that is given up to leave it, as it may begin to serve by an order
    /// that was given earlier.
    StandDown {
        /// The head.
        head: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Form a group.
    Form {
        /// The model.
        model: ModelId,
        /// The group that is formed again; a new one where there is none.
        group: Option<GroupId>,
        /// The members; the first becomes the head.
        members: Vec<InstanceId>,
        /// How many of them must load the weights first.
        loads: usize,
    },
    /// Tell the head of a whole group to serve.
    Open {
        /// The head.
        head: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Let an unused instance that holds a model's weights join a group of its own that never
    /// serves, so that its next join is quick.
    Warm {
        /// The instance.
        instance: InstanceId,
        /// The model.
        model: ModelId,
    },
    /// Load the weights of a model onto an unused instance.
    Stage {
        /// The instance.
        instance: InstanceId,
        /// The model.
        model: ModelId,
    },
}
