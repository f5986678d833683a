//! A group order together with its recipient.

use cuminlb_catalog::GroupOrder;
use cuminlb_types::prelude::*;

/// An order and the instance that receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceOrder {
    /// The recipient.
    pub instance: InstanceId,
    /// The order.
    pub order: GroupOrder,
}
