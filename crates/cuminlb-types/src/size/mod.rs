//! Sizes, counts and ranks, and the error of parsing numbers.

mod accelerator_count;
mod byte_count;
mod member_count;
mod parse_number_error;
mod replica_count;
mod share_weight;
mod slot_count;
mod token_count;
mod urgency;

pub use self::accelerator_count::AcceleratorCount;
pub use self::byte_count::ByteCount;
pub use self::member_count::MemberCount;
pub use self::parse_number_error::ParseNumberError;
pub use self::replica_count::ReplicaCount;
pub use self::share_weight::ShareWeight;
pub use self::slot_count::SlotCount;
pub use self::token_count::TokenCount;
pub use self::urgency::Urgency;
