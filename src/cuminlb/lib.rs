//! The cuminlb node and the library behind its two programs, `cuminlb` and `cuminctl`.
//!
//! [`ops`] implements the commands of both programs. A running node is a [`Node`](node::Node),
//! the state that its tasks share. [`control`] contains the tasks that monitor the platform, the
//! peers and the groups; [`serving`] handles the requests of callers and [`operating`] those of
//! operators; [`observing`] records events and [`metrics`] exports metrics. Decisions are made in
//! `cuminlb-fleet` and `cuminlb-routing`; this crate executes them.

pub mod control;
pub mod metrics;
pub mod node;
pub mod observing;
pub mod operating;
pub mod ops;
pub mod serving;
