//! Tests of the whole system; most run the programs as processes.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod fleet_support;
mod groups;
mod latency;
mod plan_faults;
mod whole_path;
mod wrong_files;
mod zones;
