//! Tests of the whole system; most run the programs as processes.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod configuration;
mod latency;
mod outage;
mod whole_path;
mod wrong_files;
