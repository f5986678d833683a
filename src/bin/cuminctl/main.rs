//! The operator program.
fn main() {}
