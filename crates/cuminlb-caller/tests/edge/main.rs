//! Tests of the HTTP servers for callers and operators over real connections with fake handlers.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod caller_input;
mod fake_caller_handler;
mod fake_operator_handler;
mod operator_input;
mod operator_token;
mod raw_http;
mod support;
