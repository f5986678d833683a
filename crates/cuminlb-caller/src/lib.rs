//! The edge towards callers and operators.
