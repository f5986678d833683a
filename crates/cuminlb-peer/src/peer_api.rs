//! [`PeerApi`].

use cuminlb_events::{Event, NodeReport};

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatement, RenewalAnswer, SlotAnswer, SlotRelease,
    SlotRenewal, SlotRequest, TableNotice,
};

/// The calls between nodes.
#[tarpc::service]
pub trait PeerApi {
    /// Exchanges statements; the answer is that of the node called.
    async fn exchange(statement: PeerStatement) -> PeerStatement;

    /// Takes in that the table is heard, and returns the statement of the node called.
    async fn announce(notice: TableNotice) -> PeerStatement;

    /// Returns the configuration in force on the node called.
    async fn config() -> Option<ConfigDocument>;

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
