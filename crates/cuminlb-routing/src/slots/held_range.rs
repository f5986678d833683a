//! [`HeldRange`].

use std::collections::BTreeSet;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What one node holds at one group, out of a range of its asks.
///
/// An ask within the range whose ticket is not listed has ended. The range keeps an ask that was
/// sent after the list was made from being taken for ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The first ask of the range.
    pub first: SlotTicket,
    /// The last ask of the range.
    pub last: SlotTicket,
    /// The asks of the range that are under way or hold a slot, in ascending order.
    pub held: Vec<SlotTicket>,
}

/// The most tickets that one range lists.
const MAX_TICKETS: usize = 1_024;

impl HeldRange {
    /// Lists what is held of all asks up to `last`, in as many ranges as that takes.
    pub fn split(held: &BTreeSet<SlotTicket>, last: SlotTicket) -> Vec<Self> {
        let held: Vec<SlotTicket> = held.iter().copied().collect();
        let mut first = SlotTicket::default();
        let mut ranges = Vec::new();
        for chunk in held.chunks(MAX_TICKETS) {
            let end = chunk.last().copied().unwrap_or(last);
            ranges.push(Self {
                first,
                last: end,
                held: chunk.to_vec(),
            });
            first = end.next();
        }
        ranges.push(Self {
            first,
            last,
            held: Vec::new(),
        });
        ranges
    }

    /// Tells whether the range says that an ask has ended.
    pub fn ends(&self, ticket: SlotTicket) -> bool {
        (self.first..=self.last).contains(&ticket) && self.held.binary_search(&ticket).is_err()
    }
}
