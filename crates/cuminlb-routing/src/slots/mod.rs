//! Slots: the right to have one request at a group.

mod slot_denial;
mod slot_ledger;

pub use self::slot_denial::SlotDenial;
pub use self::slot_ledger::SlotLedger;
