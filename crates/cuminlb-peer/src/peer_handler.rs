//! [`PeerHandler`].

use std::future::Future;

use cuminlb_events::Event;

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatement, SlotAnswer, SlotRelease, SlotRequest, TableNotice,
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

    /// Takes a slot back.
    fn release_slot(&self, release: SlotRelease);

    /// Returns the newest events of this node.
    fn events(&self, query: EventsQuery) -> Vec<Event>;
}
