//! Serves the requests of callers, and the calls of peers.
//!
//! [`Router`] admits a request, acquires a slot at a group and sends the request to the leader of
//! that group; the response is forwarded as it arrives. A request that must not run twice is
//! claimed first, see [`claims`]. [`PeerService`] handles the calls of other nodes.

mod attempt_failure;
mod caller_context;
mod claimed_request;
pub mod claims;
mod destination;
mod failed_groups;
mod held_slot;
mod open_response;
mod peer_service;
mod priority_header;
mod request_events;
mod request_quarantine;
mod request_run;
mod retry_budgets;
mod router;
mod run_bounds;
mod slot_client;
mod slot_request_guard;
mod stream_relay;
mod suspect_isolation;
mod upstream_request;

pub use self::peer_service::PeerService;
pub use self::router::Router;
