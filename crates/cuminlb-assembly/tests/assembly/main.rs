//! Tests of the decisions about groups.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod decisions;
mod engine_world;
mod model_engine;
mod properties;
mod stragglers;
