//! [`PeerHandler`].

use std::future::Future;

use cuminlb_events::{Event, NodeReport};

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatement, RenewalAnswer, SlotAnswer, SlotRelease,
    SlotRenewal, SlotRequest, TableNotice,
};

/// What a node does with the calls of its peers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Takes in the statement of a peer and returns that of this node.
    fn exchange(&self, statement: PeerStatement) -> PeerStatement;

    /// Takes in that the table is heard, and only then returns the statement of this node.
    fn announce(&self, notice: TableNotice) -> PeerStatement;

    /// Returns the configuration in force on this node.
    fn config(&self) -> Option<ConfigDocument>;

    /// Grants a slot or says why not.
    fn acquire_slot(&self, request: SlotRequest) -> impl Future<Output = SlotAnswer> + Send;

    /// Takes slots back.
    fn release_slots(&self, release: SlotRelease);

    /// Takes in what a peer says that it holds.
    fn renew_slots(&self, renewal: SlotRenewal) -> RenewalAnswer;

    /// Returns the newest events of this node.
    fn events(&self, query: EventsQuery) -> Vec<Event>;

    /// Returns what this node reports of itself.
    fn report(&self) -> NodeReport;

    /// Notes that a message has come in; `kind` is the name of the call.
    fn note_received(&self, kind: &'static str);
}
