//! Answers callers.
//!
//! A request goes from [`Router`] through admission to a slot at a group, and from there to the
//! leader of the group; the answer is passed on as it comes. A request that may not run twice is
//! claimed first, see [`claims`].

mod asked_slot;
mod claimed_request;
pub mod claims;
mod destination;
mod exchange;
mod failed_groups;
mod held_slot;
mod open_answer;
mod peer_service;
mod request_run;
mod request_trail;
mod retry_budgets;
mod router;
mod run_bounds;
mod slot_client;
mod stream_relay;
mod suspect_lanes;
mod suspicion;
mod try_failure;

pub use self::peer_service::PeerService;
pub use self::router::Router;
