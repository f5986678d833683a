//! What instances state about the requests that they take, and whether one may get a request now.
//!
//! [`StatedLimit`] holds the rate limit that an instance states in its responses. The nodes divide it by
//! [`NodeRank`](crate::NodeRank), and each counts its requests in [`RecentSends`]. [`InstanceReadiness`]
//! combines this with the other statements of an instance.

mod availability;
mod instance_readiness;
mod limit_change;
mod limit_place;
mod recent_sends;
mod stated_limit;
mod test_turns;

pub use self::availability::Availability;
pub use self::instance_readiness::InstanceReadiness;
pub use self::limit_change::LimitChange;
pub use self::limit_place::LimitPlace;
pub use self::recent_sends::RecentSends;
pub use self::stated_limit::StatedLimit;
