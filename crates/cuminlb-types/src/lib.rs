//! Ids, sizes, rates and times that every part of cuminlb shares.
//!
//! Every value that crosses a function carries one of these types instead of a bare string or
//! number. Each type has `Display` and `FromStr`, is cheap to clone, and is serialised in its
//! plain form. The crate depends on nothing else of the workspace.

mod hash;
mod id;
mod macros;
pub mod prelude;
mod rate;
mod size;
mod time;

pub use crate::hash::rendezvous_rank;
pub use crate::id::*;
pub use crate::rate::*;
pub use crate::size::*;
pub use crate::time::*;
