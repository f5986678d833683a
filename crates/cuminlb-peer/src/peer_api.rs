//! [`PeerApi`].

use cuminlb_events::{Event, NodeReport};

use crate::message::{
    EventsQuery, PeerStatement, RenewalAnswer, SlotAnswer, SlotRelease, SlotRenewal, SlotRequest,
};

/// The calls between nodes.
#[tarpc::service]
pub trait PeerApi {
    /// Exchanges statements; the answer is that of the node called.
    async fn exchange(statement: PeerStatement) -> PeerStatement;

    /// Asks the owner of a group for a slot.
    async fn acquire_slot(request: SlotRequest) -> SlotAnswer;

    /// Gives slots back.
    async fn release_slots(release: SlotRelease);

    /// Tells the owner of groups which of their slots the caller holds.
    async fn renew_slots(renewal: SlotRenewal) -> RenewalAnswer;

    /// Returns the newest events of the node called.
    async fn events(query: EventsQuery) -> Vec<Event>;

    /// Returns what the node called reports of itself.
    async fn report() -> NodeReport;
}
