//! [`StandingTrail`].

use std::sync::atomic::{AtomicBool, Ordering};

use cuminlb_events::EventKind;
use smol_str::{SmolStr, format_smolstr};

use crate::node::Node;

/// Whether the node was last recorded as taking new work.
#[derive(Debug, Default)]
pub struct StandingTrail {
    acts: AtomicBool,
}

impl StandingTrail {
    /// Records a change since the last call.
    pub fn observe(&self, node: &Node) {
        let acts = node.is_config_confirmed();
        if self.acts.swap(acts, Ordering::AcqRel) == acts {
            return;
        }
        let reason = standing_reason(node, acts);
        node.events
            .record(EventKind::StandingChanged { acts, reason });
    }
}

fn standing_reason(node: &Node, acts: bool) -> SmolStr {
    let max_age_ms = node.settings.control.knowledge_max_age_ms;
    match node.freshness.age_ms() {
        _ if acts => "the configuration is confirmed".into(),
        Some(age_ms) => {
            format_smolstr!("the table was last heard {age_ms} ago, bound {max_age_ms}")
        }
        None => "the table has not been heard since the start".into(),
    }
}
