//! [`ControlSettings`].

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// Periods and bounds of control.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// How often the configuration and the rosters are read.
    pub poll_period_ms: Millis,
    /// How often the members of an owned group are probed.
    pub probe_period_ms: Millis,
    /// The age at which the proof that a member is up has gone stale.
    pub proof_max_age_ms: Millis,
    /// The length of a lease.
    pub lease_length_ms: Millis,
    /// The part of a lease that its holder leaves unused at the end.
    pub lease_margin_ms: Millis,
    /// The age at which knowledge of the table has gone stale.
    pub knowledge_max_age_ms: Millis,
    /// The time that one call to a peer may take.
    pub peer_timeout_ms: Millis,
}

impl ControlSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let period = Bounds {
            min: Millis(20),
            max: Millis(4_000),
        };
        let bound = Bounds {
            min: Millis(100),
            max: Millis(60_000),
        };
        let control = Self {
            poll_period_ms: reader.bounded("poll_period", Millis(1_000), period),
            probe_period_ms: reader.bounded("probe_period", Millis(250), period),
            proof_max_age_ms: reader.bounded("proof_max_age", Millis(1_000), bound),
            lease_length_ms: reader.bounded("lease_length", Millis(4_000), bound),
            lease_margin_ms: reader.bounded("lease_margin", Millis(500), period),
            knowledge_max_age_ms: reader.bounded("knowledge_max_age", Millis(3_500), bound),
            peer_timeout_ms: reader.bounded("peer_timeout", Millis(500), period),
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
