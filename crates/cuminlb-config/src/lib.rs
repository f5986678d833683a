//! Parsing and validation of the node settings and the fleet file.
//!
//! Both files are TOML. A reader collects all problems with their keys, values and bounds, so that
//! an operator sees all of them at once; an unknown key is a problem. The settings are specific to
//! a node. The fleet file is the complete desired state, which all nodes share.

mod check;
mod fleet;
mod settings;

pub use crate::check::{ConfigError, Problem};
pub use crate::fleet::*;
pub use crate::settings::*;
