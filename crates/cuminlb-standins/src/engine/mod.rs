//! The stand-in for a model engine, which is one member instance of a group.

mod completion;
mod options;
mod server;
mod state;

pub use self::options::EngineOptions;
pub use self::server::Engine;
