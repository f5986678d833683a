//! The part of a slot renewal that covers a range of slot requests.

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SlotRequestState;

/// The maximum number of slot requests listed in one range.
const MAX_TICKETS_PER_RANGE: usize = 1_024;

/// The slots that one node holds at one group, for a range of its slot requests.
///
/// A slot request within the range that is not listed has ended. Requests outside the range are
/// not affected, so that one sent after the list was made is not mistaken for ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The first ticket of the range.
    pub first: SlotTicket,
    /// The last ticket of the range, inclusive.
    pub last: SlotTicket,
    /// The slot requests of the range that have not ended.
    #[serde(rename = "asks")]
    pub tickets: BTreeMap<SlotTicket, SlotRequestState>,
}

impl HeldRange {
    /// Splits the slot requests up to `last` into as many ranges as necessary.
    ///
    /// `tickets` lists those that have not ended; the ranges cover all others up to `last` too.
    pub fn split(tickets: &BTreeMap<SlotTicket, SlotRequestState>, last: SlotTicket) -> Vec<Self> {
        let tickets: Vec<(SlotTicket, SlotRequestState)> = tickets
            .iter()
            .map(|(ticket, state)| (*ticket, *state))
            .collect();
        let mut first = SlotTicket::default();
        let mut ranges = Vec::new();
        for chunk in tickets.chunks(MAX_TICKETS_PER_RANGE) {
            let end = chunk.last().map_or(last, |(ticket, _)| *ticket);
            ranges.push(Self {
                first,
                last: end,
                tickets: chunk.iter().copied().collect(),
            });
            first = end.next();
        }
        ranges.push(Self {
            first,
            last,
            tickets: BTreeMap::new(),
        });
        ranges
    }

    /// Returns whether a slot request has ended according to the range.
    pub fn has_ended(&self, ticket: SlotTicket) -> bool {
        (self.first..=self.last).contains(&ticket) && !self.tickets.contains_key(&ticket)
    }

    /// Returns whether a slot request holds a slot according to the range.
    pub fn holds(&self, ticket: SlotTicket) -> bool {
        self.tickets.get(&ticket) == Some(&SlotRequestState::Held)
    }

    /// Returns the tickets that hold a slot.
    pub fn held(&self) -> impl Iterator<Item = SlotTicket> {
        let held = self
            .tickets
            .iter()
            .filter(|(_, state)| **state == SlotRequestState::Held);
        held.map(|(ticket, _)| *ticket)
    }
}
