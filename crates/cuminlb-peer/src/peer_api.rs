//! [`PeerApi`].

use cuminlb_events::Event;

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatement, SlotAnswer, SlotRelease, SlotRequest, TableNotice,
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

    /// Gives a slot back.
    async fn release_slot(release: SlotRelease);

    /// Returns the newest events of the node called.
    async fn events(query: EventsQuery) -> Vec<Event>;
}
