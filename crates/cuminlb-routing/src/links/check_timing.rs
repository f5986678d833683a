//! The durations of the steps by which a group with a silent head is checked.

use cuminlb_types::prelude::*;

/// The durations of the steps by which a group with a silent head is checked, derived from each other.
///
/// A follower asks its relay, which probes the members and then asks other nodes about those that do
/// not respond. Each step that waits for another node waits for longer than that node takes at most, so
/// that a follower never repeats a check that its relay is running.
#[derive(Debug)]
pub enum CheckTiming {}

impl CheckTiming {
    /// Time within which a member that is alive responds to a probe.
    pub const PROBE_MS: Millis = Millis(70);

    /// Number of probes without a response after which a member counts as not reached.
    pub const PROBE_ATTEMPTS: u32 = 2;

    /// Time within which another instance responds to a probe that shows whether the links of a node
    /// work.
    pub const CONTROL_PROBE_MS: Millis = Millis(140);

    /// Time that a call to another node may take beyond the work of that node: opening a connection
    /// between zones 4 ms apart, and waiting for a core on a small machine.
    pub const TRANSIT_MS: Millis = Millis(60);

    /// Time within which a node has probed a member.
    pub const PROBES_MS: Millis = Millis(Self::PROBE_MS.0 * Self::PROBE_ATTEMPTS as u64);

    /// Time within which a node that is asked for a second opinion has formed it.
    pub const EXAMINATION_MS: Millis = Millis(Self::PROBES_MS.0 + Self::CONTROL_PROBE_MS.0);

    /// How long a node waits for a second opinion.
    pub const OPINION_WAIT_MS: Millis = Millis(Self::EXAMINATION_MS.0 + Self::TRANSIT_MS.0);

    /// Time within which a relay answers a follower: that of its own probes and of one round of second
    /// opinions.
    pub const RELAY_ANSWER_MS: Millis = Millis(Self::PROBES_MS.0 + Self::OPINION_WAIT_MS.0);

    /// How long a follower waits for the answer of its relay before it checks the group itself.
    pub const FOLLOWER_WAIT_MS: Millis = Millis(Self::RELAY_ANSWER_MS.0 + Self::TRANSIT_MS.0);
}
