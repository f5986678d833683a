//! Builders and clients for tests that run complete sites as processes.
//!
//! [`SiteBuilder`] describes a site: nodes, model services and plain services in availability
//! zones. [`Site`] runs it: every node and every stand-in is a separate process, on loopback
//! addresses that no other site uses. [`TestClient`] sends requests as a caller.

mod http_client;
mod loopback_block;
mod process;
mod service_plan;
mod site;
mod site_builder;
mod site_calls;
mod site_error;
mod site_files;
mod site_node;
mod site_platform;
mod site_processes;
mod site_upstream;
mod wait;

pub use crate::http_client::{HttpResponse, TestClient};
pub use crate::loopback_block::LoopbackBlock;
pub use crate::process::{Process, Programs};
pub use crate::service_plan::{ModelPlan, PlainPlan};
pub use crate::site::Site;
pub use crate::site_builder::SiteBuilder;
pub use crate::site_error::SiteError;
pub use crate::site_node::SiteNode;
pub use crate::site_upstream::SiteUpstream;
pub use crate::wait::wait_until;
