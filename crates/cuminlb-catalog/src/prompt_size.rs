//! [`PromptSize`].

use cuminlb_types::prelude::*;

/// How many tokens a request brings and may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// The most tokens of the answer.
    pub max_answer: TokenCount,
}
