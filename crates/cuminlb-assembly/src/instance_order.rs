//! [`InstanceOrder`].

use cuminlb_catalog::GroupOrder;
use cuminlb_types::prelude::*;

/// An order and the instance that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceOrder {
    /// The instance.
    pub instance: InstanceId,
    /// The order.
    pub order: GroupOrder,
}
