//! Stand-ins for the platform, the model engines and the plain services, for development only.
//!
//! Each stand-in is an HTTP server with a `PUT /fault` endpoint, by which its faults are switched
//! while it runs. It runs inside a test by its `start` function, or as a process of its own by
//! the example of the same name. No package of the product depends on this one.

mod engine;
mod fault;
mod http_server;
mod link;
mod plain;
mod platform;
mod standin_error;
mod traffic;

pub use crate::engine::{Engine, EngineOptions};
pub use crate::fault::{Fault, FaultState};
pub use crate::http_server::{AnswerBody, Answers, StandinServer, json, status, text};
pub use crate::link::{LinkFault, LossyLink};
pub use crate::plain::{PlainOptions, PlainService, Reservation};
pub use crate::platform::{Platform, PlatformOptions};
pub use crate::standin_error::StandinError;
pub use crate::traffic::TrafficReport;
