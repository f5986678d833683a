//! [`EngineOptions`].

use cuminlb_types::prelude::*;

/// How an engine's stand-in behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// The time to the first token.
    pub first_token_ms: Millis,
    /// The time between two tokens.
    pub token_gap_ms: Millis,
    /// The number of tokens of an answer.
    pub tokens: TokenCount,
    /// How long an engine is cold after it joined a group.
    pub cold_start_ms: Millis,
    /// The number of requests at which a cold engine crashes.
    pub cold_limit: SlotCount,
    /// The number of requests at which a warm engine crashes.
    pub warm_limit: SlotCount,
    /// How long the load in a report lags behind.
    pub report_lag_ms: Millis,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            first_token_ms: Millis(20),
            token_gap_ms: Millis(5),
            tokens: TokenCount(16),
            cold_start_ms: Millis(500),
            cold_limit: SlotCount(2),
            warm_limit: SlotCount(64),
            report_lag_ms: Millis(200),
            checks_fencing: true,
        }
    }
}
