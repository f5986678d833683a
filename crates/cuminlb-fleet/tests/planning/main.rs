//! Tests of the decisions about groups, without any process.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod decisions;
mod properties;
mod simulation;
