//! The edge between the nodes: one tarpc conversation for each peer.
//!
//! [`PeerApi`] lists the calls. [`PeerLink`] holds the client's end of one conversation and opens
//! it again after a failure; [`serve_peers`] runs the server's end, one task for each connection,
//! and hands each call to a [`PeerHandler`]. [`RelayLink`], [`serve_relay`] and [`RelayHandler`] are
//! the same for nodes that follow a platform's store. Both ends show the peer token before the first call.

mod accept_peers;
mod call_counts;
mod handshake;
mod message;
mod peer_api;
mod peer_error;
mod peer_handler;
mod peer_link;
mod peer_server;
mod relay_api;
mod relay_handler;
mod relay_link;
mod relay_server;
mod transport;

pub use crate::call_counts::CallCounts;
pub use crate::handshake::PeerToken;
pub use crate::message::{
    ConfigDocument, EventsQuery, PeerStatement, RelayedRows, ReleasedSlot, RenewalAnswer,
    RenewedGroup, SlotAnswer, SlotGrant, SlotRelease, SlotRenewal, SlotRequest, SuspicionNotice,
    TableNotice,
};
pub use crate::peer_api::{PeerApi, PeerApiClient};
pub use crate::peer_error::PeerError;
pub use crate::peer_handler::PeerHandler;
pub use crate::peer_link::PeerLink;
pub use crate::peer_server::serve_peers;
pub use crate::relay_handler::RelayHandler;
pub use crate::relay_link::RelayLink;
pub use crate::relay_server::serve_relay;
