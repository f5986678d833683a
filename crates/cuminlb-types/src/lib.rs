//! Ids, sizes, rates and times shared by all packages of cuminlb.
//!
//! Function parameters and results use these newtypes instead of plain strings and numbers. Each
//! type implements `Display` and `FromStr`, is cheap to clone, and is serialized as the plain
//! string or number. The crate depends on no other crate of the workspace.

mod hash;
mod id;
mod macros;
pub mod prelude;
mod rate;
mod size;
mod spare_policy;
mod time;

pub use crate::hash::rendezvous_rank;
pub use crate::id::*;
pub use crate::rate::*;
pub use crate::size::*;
pub use crate::spare_policy::SparePolicy;
pub use crate::time::*;
