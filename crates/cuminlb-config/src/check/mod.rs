//! Reads TOML tables and collects all problems instead of stopping at the first one.

mod bounds;
mod config_error;
mod problem;
mod problems;
mod table_reader;

pub(crate) use self::bounds::Bounds;
pub use self::config_error::ConfigError;
pub use self::problem::Problem;
pub(crate) use self::problems::Problems;
pub(crate) use self::table_reader::TableReader;
