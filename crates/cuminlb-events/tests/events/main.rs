//! Tests of events, their clock and their rings.
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
