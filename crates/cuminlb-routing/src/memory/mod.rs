//! Bounds on the memory that a node holds for bodies and for heads of requests.
//!
//! These answer the load of many long bodies at once: of callers within the limits of the catalog, and
//! of instances that respond without end. Each body has a limit of its own; a [`BodyBudget`] bounds
//! their sum, so that one kind of body can't end the process and with it the requests of others.
//!
//! A [`HeadBudget`] answers the load of many connections whose heads never end: the sum of what they hold is
//! bounded, and those that hold the most are closed.

mod body_budget;
mod body_buffer;
mod budget_error;
mod budget_share;
mod head_budget;
mod head_holder;
mod head_pool;
mod head_share;
mod heads_held;
mod memory_pool;

pub use self::body_budget::BodyBudget;
pub use self::body_buffer::BodyBuffer;
pub use self::budget_error::BudgetError;
pub use self::budget_share::BudgetShare;
pub use self::head_budget::HeadBudget;
pub use self::head_share::HeadShare;
pub use self::heads_held::HeadsHeld;
