//! [`HeldRange`].

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::AskState;

/// The most asks that one range lists.
const MAX_ASKS: usize = 1_024;

/// What one node holds at one group, out of a range of its asks.
///
/// An ask within the range that is not listed has ended. The range keeps an ask that was sent
/// after the list was made from being taken for ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The first ask of the range.
    pub first: SlotTicket,
    /// The last ask of the range.
    pub last: SlotTicket,
    /// The asks of the range that have not ended.
    pub asks: BTreeMap<SlotTicket, AskState>,
}

impl HeldRange {
    /// Lists what is asked and held of all asks up to `last`, in as many ranges as that takes.
    pub fn split(asks: &BTreeMap<SlotTicket, AskState>, last: SlotTicket) -> Vec<Self> {
        let asks: Vec<(SlotTicket, AskState)> = asks.iter().map(|(k, v)| (*k, *v)).collect();
        let mut first = SlotTicket::default();
        let mut ranges = Vec::new();
        for chunk in asks.chunks(MAX_ASKS) {
            let end = chunk.last().map_or(last, |(ticket, _)| *ticket);
            ranges.push(Self {
                first,
                last: end,
                asks: chunk.iter().copied().collect(),
            });
            first = end.next();
        }
        ranges.push(Self {
            first,
            last,
            asks: BTreeMap::new(),
        });
        ranges
    }

    /// Tells whether the range says that an ask has ended.
    pub fn ends(&self, ticket: SlotTicket) -> bool {
        (self.first..=self.last).contains(&ticket) && !self.asks.contains_key(&ticket)
    }

    /// Tells whether the range says that an ask holds a slot.
    pub fn holds(&self, ticket: SlotTicket) -> bool {
        self.asks.get(&ticket) == Some(&AskState::Held)
    }

    /// Returns the asks that hold a slot.
    pub fn held(&self) -> impl Iterator<Item = SlotTicket> {
        let held = self
            .asks
            .iter()
            .filter(|(_, state)| **state == AskState::Held);
        held.map(|(ticket, _)| *ticket)
    }
}
