//! Fluent support for tests that run whole sites as processes.
