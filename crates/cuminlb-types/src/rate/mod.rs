//! Rates and ratios.

mod core_share;
mod link_rate;
mod rate_statement;
mod ratio;
mod requests_per_second;
mod tokens_per_second;

pub use self::core_share::CoreShare;
pub use self::link_rate::LinkRate;
pub use self::rate_statement::RateStatement;
pub use self::ratio::Ratio;
pub use self::requests_per_second::RequestsPerSecond;
pub use self::tokens_per_second::TokensPerSecond;
