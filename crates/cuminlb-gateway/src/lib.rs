//! A node on the users' platform.
//!
//! [`run_gateway`] starts and joins all tasks of a node. `knowledge` holds what the node knows and
//! follows the platform's store and the peers; `leading` forms and repairs groups while this node
//! leads; `serving` serves callers; `upstream` holds the connections to instances. None of them
//! contains names that are specific to the platform: these come in through the traits of
//! `cuminlb-catalog`.

mod accept_connections;
mod body_budgets;
mod collect_body;
mod drain;
mod edges;
mod gateway;
mod gateway_error;
mod knowledge;
mod leading;
mod links;
mod listeners;
mod metrics;
mod run_gateway;
mod serving;
mod upstream;

pub use crate::edges::Edges;
pub use crate::gateway_error::GatewayError;
pub use crate::run_gateway::run_gateway;
