//! Slots: each one permits one request to run at a group.
//!
//! The owner of a group grants its slots and accounts for them in a [`SlotLedger`]. The nodes that
//! hold slots renew and release them; their state is reconciled by [`HeldRange`].

mod held_range;
mod holder_slots;
mod load_report;
mod orphaned_slot;
mod orphaned_slots;
mod release_reason;
mod slot_denial;
mod slot_holder;
mod slot_id;
mod slot_ledger;
mod slot_load;
mod slot_request_state;
mod slot_timing;

pub use self::held_range::HeldRange;
pub use self::load_report::LoadReport;
pub use self::release_reason::ReleaseReason;
pub use self::slot_denial::SlotDenial;
pub use self::slot_holder::SlotHolder;
pub use self::slot_id::SlotId;
pub use self::slot_ledger::SlotLedger;
pub use self::slot_load::SlotLoad;
pub use self::slot_request_state::SlotRequestState;
pub use self::slot_timing::SlotTiming;
