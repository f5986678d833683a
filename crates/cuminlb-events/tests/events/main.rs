//! Tests of events, their clock, their log and the aggregation of denials.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod clock;
mod decoding;
mod denials;
mod log;
mod strategies;
