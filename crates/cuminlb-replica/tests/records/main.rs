//! Tests of what a node keeps of the rows that it has read.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod draining;
mod leaving_instances;
mod properties;
mod restored_instances;
mod restored_orders;
mod restored_ties;
mod support;
