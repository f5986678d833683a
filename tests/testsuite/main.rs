//! Tests of the whole system; most run the programs as processes.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod at_most_once;
mod claim_properties;
mod claim_world;
mod cold_start;
mod latency;
mod memory_table;
mod quarantine;
mod streams;
mod whole_path;
mod wrong_files;
