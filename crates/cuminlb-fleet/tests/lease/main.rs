//! Tests of the decisions about leases, without any process.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod epochs;
mod known_holders;
mod lost_answers;
mod restored_rows;
mod restored_store;
mod simulated_node;
mod simulation;
mod support;
mod suspensions;
mod unreadable_rows;
