//! The interface between the peer server and the node that handles its calls.

use std::future::Future;

use cuminlb_events::{Event, NodeReport};

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatus, RenewalResponse, SlotRelease, SlotRenewal,
    SlotRequest, SlotResponse, TableNotice,
};

/// Handles the calls of peers on a node.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Handles the status of a peer and returns that of this node.
    fn exchange(&self, status: PeerStatus) -> PeerStatus;

    /// Handles the notice that a peer has read the table, and only then returns the status of this
    /// node.
    fn announce(&self, notice: TableNotice) -> PeerStatus;

    /// Returns the active configuration of this node.
    fn config(&self) -> Option<ConfigDocument>;

    /// Grants a slot, or returns the reason why it is denied.
    fn acquire_slot(&self, request: SlotRequest) -> impl Future<Output = SlotResponse> + Send;

    /// Grants a slot for a request that is suspected of crashing groups, or returns the reason why
    /// it is denied.
    fn acquire_suspect_slot(
        &self,
        request: SlotRequest,
    ) -> impl Future<Output = SlotResponse> + Send;

    /// Handles the release of slots that a peer held.
    fn release_slots(&self, release: SlotRelease);

    /// Handles the report of a peer on the slots that it holds.
    fn renew_slots(&self, renewal: SlotRenewal) -> RenewalResponse;

    /// Returns the newest events of this node.
    fn events(&self, query: EventsQuery) -> Vec<Event>;

    /// Returns the report of this node on its own state.
    fn report(&self) -> NodeReport;

    /// Records that a call was received; `kind` is the name of the call.
    fn record_received(&self, kind: &'static str);
}
