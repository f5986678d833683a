//! The tarpc service of the calls between nodes.
//!
//! The order of its methods and of their parameters is part of the wire format.

use cuminlb_events::{Event, NodeReport};

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatus, RenewalResponse, SlotRelease, SlotRenewal,
    SlotRequest, SlotResponse, TableNotice,
};

/// The calls between nodes.
#[tarpc::service]
pub trait PeerApi {
    /// Exchanges the status of the caller for that of the called node.
    async fn exchange(status: PeerStatus) -> PeerStatus;

    /// Notifies the called node that the table was read, and returns its status.
    async fn announce(notice: TableNotice) -> PeerStatus;

    /// Returns the active configuration of the called node.
    async fn config() -> Option<ConfigDocument>;

    /// Requests a slot from the owner of a group.
    async fn acquire_slot(request: SlotRequest) -> SlotResponse;

    /// Releases slots.
    async fn release_slots(release: SlotRelease);

    /// Reports to the owner of groups which of their slots the caller holds.
    async fn renew_slots(renewal: SlotRenewal) -> RenewalResponse;

    /// Returns the newest events of the called node.
    async fn events(query: EventsQuery) -> Vec<Event>;

    /// Returns the report of the called node on its own state.
    async fn report() -> NodeReport;

    /// Requests a slot for a request that is suspected of crashing groups. The owner grants it only
    /// while no other suspect runs at the group.
    async fn acquire_suspect_slot(request: SlotRequest) -> SlotResponse;
}
