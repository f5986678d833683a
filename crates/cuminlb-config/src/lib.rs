//! Node settings and the fleet file, read and checked as a whole.
//!
//! Both files are TOML. A reader collects every mistake with its key, value and bound, so that
//! an operator sees all of them at once; an unknown key is a mistake. The settings belong to one
//! node; the fleet file is the whole desired state that all nodes share.

mod check;
mod fleet;
mod settings;

pub use crate::check::{ConfigError, Problem};
pub use crate::fleet::*;
pub use crate::settings::*;
