//! Whether a request may enter, and in which order requests that wait go on.

mod admission_limits;
mod drain_rate;
mod fair_queue;
mod gate;
mod permit;
mod priority;
mod retry_spread;
mod service_queue;
mod team_rates;
mod token_bucket;
mod turn;

pub use self::admission_limits::AdmissionLimits;
pub use self::drain_rate::DrainRate;
pub use self::fair_queue::{FairQueue, QueuePlace};
pub use self::gate::Admission;
pub use self::permit::AdmissionPermit;
pub use self::priority::Priority;
pub use self::retry_spread::RetrySpread;
pub use self::service_queue::ServiceQueue;
pub use self::team_rates::TeamRates;
pub use self::token_bucket::TokenBucket;
pub use self::turn::Turn;
