//! The size type of prompts, responses and the KV cache.

use crate::macros::{integer, number};

integer! {
    /// A number of tokens.
    TokenCount(u64), "token count", ""
}
