//! Tests of the planning of groups against simulated engines.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod decisions;
mod hidden_heads;
mod probe_series;
mod properties;
mod simulated_engine;
mod simulation;
mod stragglers;
