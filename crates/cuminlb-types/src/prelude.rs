//! All types of the crate, for `use cuminlb_types::prelude::*`.

pub use crate::id::*;
pub use crate::rate::*;
pub use crate::size::*;
pub use crate::spare_policy::SparePolicy;
pub use crate::time::*;
