//! [`SlotLedger`].

use std::collections::HashMap;

use cuminlb_types::prelude::*;

use super::SlotDenial;

/// The slots of one group at one epoch, kept by the owner of the group.
///
/// Every request that runs at the group holds a slot here, so that the sum over all nodes stays
/// within what the upstream can bear.
#[derive(Debug)]
pub struct SlotLedger {
    epoch: Epoch,
    granted: HashMap<RequestId, NodeId>,
}

impl SlotLedger {
    /// Creates an empty ledger.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            granted: HashMap::new(),
        }
    }

    /// Grants a slot if fewer than `limit` are taken.
    ///
    /// A repeat for a request that already holds a slot is granted again.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] when the epoch is another one or all slots are taken.
    pub fn grant(
        &mut self,
        request: &RequestId,
        node: &NodeId,
        epoch: Epoch,
        limit: SlotCount,
    ) -> Result<(), SlotDenial> {
        if epoch != self.epoch {
            return Err(SlotDenial::EpochChanged { epoch: self.epoch });
        }
        if self.granted.contains_key(request) {
            return Ok(());
        }
        if self.taken() >= limit {
            return Err(SlotDenial::Full);
        }
        self.granted.insert(request.clone(), node.clone());
        Ok(())
    }

    /// Gives a slot back; an unknown request changes nothing.
    pub fn release(&mut self, request: &RequestId) {
        self.granted.remove(request);
    }

    /// Returns the number of slots that are taken.
    pub fn taken(&self) -> SlotCount {
        SlotCount(u32::try_from(self.granted.len()).unwrap_or(u32::MAX))
    }
}
