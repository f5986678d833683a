//! Rates and ratios.

mod ratio;
mod requests_per_second;
mod tokens_per_second;

pub use self::ratio::Ratio;
pub use self::requests_per_second::RequestsPerSecond;
pub use self::tokens_per_second::TokensPerSecond;
