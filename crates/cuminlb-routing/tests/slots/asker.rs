//! [`Asker`].

use cuminlb_routing::SlotId;
use cuminlb_types::prelude::*;

/// One node that asks for slots.
#[derive(Clone, Debug)]
pub struct Asker {
    pub incarnation: u64,
    pub last: SlotTicket,
    pub releases_lost: bool,
    pub latest: Option<SlotId>,
    /// The asks that were denied and are tried again, with the times of their requests.
    pub waiting: Vec<(SlotTicket, u64, u64)>,
}
