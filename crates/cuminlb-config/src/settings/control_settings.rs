//! The section `control` of the settings file.

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// The timing of the control loops: periods, timeouts and maximum ages.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The period at which the configuration and the rosters are read.
    pub poll_period_ms: Millis,
    /// The period at which the members of an owned group are probed.
    pub probe_period_ms: Millis,
    /// The age at which the proof that a member is up becomes stale.
    pub proof_max_age_ms: Millis,
    /// The duration of a lease.
    pub lease_length_ms: Millis,
    /// The time at the end of a lease during which its holder no longer uses it.
    pub lease_margin_ms: Millis,
    /// The age at which a node's knowledge of the table becomes stale.
    pub knowledge_max_age_ms: Millis,
    /// The timeout of a call to a peer.
    pub peer_timeout_ms: Millis,
}

impl ControlSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let period_bounds = Bounds {
            min: Millis(20),
            max: Millis(4_000),
        };
        let age_bounds = Bounds {
            min: Millis(100),
            max: Millis(60_000),
        };
        let control = Self {
            poll_period_ms: reader.bounded("poll_period", Millis(1_000), period_bounds),
            probe_period_ms: reader.bounded("probe_period", Millis(250), period_bounds),
            proof_max_age_ms: reader.bounded("proof_max_age", Millis(1_000), age_bounds),
            lease_length_ms: reader.bounded("lease_length", Millis(4_000), age_bounds),
            lease_margin_ms: reader.bounded("lease_margin", Millis(500), period_bounds),
            knowledge_max_age_ms: reader.bounded("knowledge_max_age", Millis(3_500), age_bounds),
            peer_timeout_ms: reader.bounded("peer_timeout", Millis(500), period_bounds),
        };
        if control.lease_margin_ms * 2 > control.lease_length_ms {
            let reason = "must be at most half of lease_length";
            reader.reject("lease_margin", control.lease_margin_ms, reason);
        }
        if control.probe_period_ms * 2 > control.proof_max_age_ms {
            let reason = "must be at most half of proof_max_age";
            reader.reject("probe_period", control.probe_period_ms, reason);
        }
        control
    }
}
