//! What crashes instances is found and kept back by all nodes, and nothing else is for long.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod attribution;
mod exchange;
mod load;
mod probes;
mod simulated_service;
mod support;
