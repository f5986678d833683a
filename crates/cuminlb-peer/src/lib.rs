//! Calls between nodes over tarpc, with one connection for each peer.
//!
//! [`PeerApi`] defines the calls. [`PeerLink`] is the client side of one connection and reconnects
//! after a failure. [`serve_peers`] is the server side: it runs one task for each connection and
//! passes each call to a [`PeerHandler`]. [`RelayLink`], [`serve_relay`] and [`RelayHandler`] are
//! the counterparts for nodes that follow a platform's store. Both sides present the peer token
//! before the first call. [`ForwardOrder`] and [`ForwardOutcome`] accompany requests that one node
//! forwards to an instance for another.

mod accept_peers;
mod call_counts;
mod forwarding;
mod handshake;
mod link_activity;
mod link_silence;
mod message;
mod open_client;
mod peer_api;
mod peer_error;
mod peer_handler;
mod peer_link;
mod peer_server;
mod pending_handshakes;
mod relay_api;
mod relay_handler;
mod relay_link;
mod relay_peer;
mod relay_server;
mod transport;
mod watched_stream;

pub use crate::call_counts::CallCounts;
pub use crate::forwarding::{ForwardHeaderError, ForwardOrder, ForwardOutcome};
pub use crate::handshake::PeerToken;
pub use crate::message::{
    ChunkId, ChunkList, ChunkRef, ChunkRequest, ConfigDocument, EventsQuery, GroupHealth,
    InstanceCheck, InstanceQuery, LoadReport, LoadScope, PeerStatus, RelayedRow, RelayedTable,
    RelayedUpdate, RelayedValue, ReleasedSlot, RenewalResponse, RenewedGroup, SlotGrant,
    SlotRelease, SlotRenewal, SlotRequest, SlotResponse, StoreContact, SuspicionNotice,
    TableCursors, TableNotice, ValueChunk,
};
pub use crate::peer_api::{PeerApi, PeerApiClient};
pub use crate::peer_error::PeerError;
pub use crate::peer_handler::PeerHandler;
pub use crate::peer_link::PeerLink;
pub use crate::peer_server::serve_peers;
pub use crate::pending_handshakes::PendingHandshakes;
pub use crate::relay_handler::RelayHandler;
pub use crate::relay_link::RelayLink;
pub use crate::relay_peer::RelayPeer;
pub use crate::relay_server::serve_relay;
