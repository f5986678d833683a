//! Answers callers.
//!
//! A request goes from [`Router`] through admission to a slot at a group, and from there to the
//! leader of the group; the answer is passed on as it comes.

mod asked_slot;
mod exchange;
mod held_slot;
mod peer_service;
mod request_trail;
mod router;
mod slot_client;
mod stream_relay;

pub use self::peer_service::PeerService;
pub use self::router::Router;
