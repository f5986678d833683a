//! Stand-ins for the platform, the model engines and the plain services, for development only.
//!
//! Each stand-in is an HTTP server with a `PUT /fault` endpoint that switches its fault at run
//! time. A test starts it with its `start` function; the example of the same name runs it as a
//! separate process. No package that goes into production depends on this one.

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
pub use crate::http_server::{
    RequestHandler, ResponseBody, StandinServer, empty_response, json_response, text_response,
};
pub use crate::link::{FaultProxy, LinkFault};
pub use crate::plain::{PlainOptions, PlainService, Reservation};
pub use crate::platform::{Platform, PlatformOptions};
pub use crate::standin_error::StandinError;
pub use crate::traffic::TrafficReport;
