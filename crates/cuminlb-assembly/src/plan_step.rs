//! The steps of a plan, which [`Assembler`](crate::Assembler) turns into orders.

use cuminlb_catalog::CloseMode;
use cuminlb_types::prelude::*;

/// One action of a plan that the leader applies immediately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Orders the head of a group to stop serving.
    Close {
        /// The head.
        head: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// How requests in flight are ended.
        mode: CloseMode,
    },
    /// Orders a member to leave a group whose head does not respond.
    Leave {
        /// The member.
        member: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Orders the head of a group that is being dissolved to leave it, because an order sent
    /// earlier may still make it start serving.
    RemoveHead {
        /// The head.
        head: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Forms a group.
    Form {
        /// The model.
        model: ModelId,
        /// The group to form again, or `None` to create a new one.
        group: Option<GroupId>,
        /// The members; the first becomes the head.
        members: Vec<InstanceId>,
        /// The number of members that must load the weights first.
        loads: usize,
    },
    /// Orders the head of a complete group to start serving.
    Open {
        /// The head.
        head: InstanceId,
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Lets an unused instance that has a model's weights join a single-member group that never
    /// serves, so that its next join is fast.
    Warm {
        /// The instance.
        instance: InstanceId,
        /// The model.
        model: ModelId,
    },
    /// Loads the weights of a model onto an unused instance.
    Stage {
        /// The instance.
        instance: InstanceId,
        /// The model.
        model: ModelId,
    },
}
