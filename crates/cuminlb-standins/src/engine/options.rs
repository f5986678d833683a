//! The timing, limits and checks of an engine's stand-in.

use cuminlb_types::prelude::*;

/// Options of an engine's stand-in; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// The time to the first token.
    pub first_token_ms: Millis,
    /// The time between consecutive tokens.
    pub token_gap_ms: Millis,
    /// The number of tokens of a response, unless the request sets `max_tokens`.
    pub tokens: TokenCount,
    /// The duration of the cold start, which begins with the first load or join order.
    pub cold_start_ms: Millis,
    /// The maximum number of concurrent requests of a cold engine; one more crashes it.
    pub cold_limit: SlotCount,
    /// The maximum number of concurrent requests of a warm engine; one more crashes it.
    pub warm_limit: SlotCount,
    /// How long reports repeat the same load before it is refreshed.
    pub report_lag_ms: Millis,
    /// Whether the engine rejects orders with an outdated fencing number.
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
