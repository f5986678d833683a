//! Records when the node starts or stops accepting new work.

use std::sync::atomic::{AtomicBool, Ordering};

use cuminlb_events::EventKind;
use smol_str::{SmolStr, format_smolstr};

use crate::node::Node;

/// Whether the node accepted new work when this was last recorded.
#[derive(Debug, Default)]
pub struct FreshnessEvents {
    accepts_work: AtomicBool,
}

impl FreshnessEvents {
    /// Records an event if the state has changed since the last call.
    pub fn observe(&self, node: &Node) {
        let accepts_work = node.is_config_confirmed();
        if self.accepts_work.swap(accepts_work, Ordering::AcqRel) == accepts_work {
            return;
        }
        let reason = change_reason(node, accepts_work);
        node.events.record(EventKind::StandingChanged {
            acts: accepts_work,
            reason,
        });
    }
}

fn change_reason(node: &Node, accepts_work: bool) -> SmolStr {
    let max_age_ms = node.settings.control.knowledge_max_age_ms;
    match node.freshness.age_ms() {
        _ if accepts_work => "the configuration is confirmed".into(),
        Some(age_ms) => {
            format_smolstr!("the table was last heard {age_ms} ago, bound {max_age_ms}")
        }
        None => "the table has not been heard since the start".into(),
    }
}
