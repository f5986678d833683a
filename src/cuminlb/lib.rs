//! The node of cuminlb and the operations of its two programs.
//!
//! [`ops`] holds the operations behind the command lines. A running node is a
//! [`Node`](node::Node), the state that its tasks share; [`control`] holds the tasks that watch
//! the platform, the peers and the groups, [`serving`] answers callers, [`operating`] answers
//! operators; [`observing`] and [`metrics`] tell what happens. Decisions live in `cuminlb-fleet` and `cuminlb-routing`; this crate carries them
//! out.

pub mod control;
pub mod metrics;
pub mod node;
pub mod observing;
pub mod operating;
pub mod ops;
pub mod serving;
