//! Tests of the edge towards callers and operators, with real connections and fake handlers.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod caller_input;
mod fake_callers;
mod fake_operators;
mod operator_input;
mod operator_token;
mod raw_http;
mod support;
