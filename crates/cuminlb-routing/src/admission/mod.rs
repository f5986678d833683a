//! Admission control: whether a request may enter, the order in which waiting requests proceed, and
//! whether a request may compete for the slots of a model's groups ([`decide_admission`]).

mod admission_control;
mod admission_limits;
mod drain_rate;
mod fair_queue;
mod permit;
mod priority;
mod request_class;
mod retry_jitter;
mod service_queue;
mod slot_admission;
mod slot_usage;
mod team_rates;
mod team_standing;
mod token_bucket;
mod turn;

pub use self::admission_control::AdmissionControl;
pub use self::admission_limits::AdmissionLimits;
pub use self::drain_rate::DrainRate;
pub use self::fair_queue::{FairQueue, QueuePosition};
pub use self::permit::AdmissionPermit;
pub use self::priority::Priority;
pub use self::request_class::RequestClass;
pub use self::retry_jitter::RetryJitter;
pub use self::service_queue::ServiceQueue;
pub use self::slot_admission::{SlotVerdict, decide_admission};
pub use self::slot_usage::SlotUsage;
pub use self::team_rates::TeamRates;
pub use self::team_standing::TeamStanding;
pub use self::token_bucket::TokenBucket;
pub use self::turn::Turn;
