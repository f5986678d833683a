//! The judgements about instances that are under way or recent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cuminlb_peer::InstanceQuery;
use cuminlb_routing::{InstanceVerdict, LinkFailure};
use tokio::sync::watch;
use tokio::time::Instant;

use super::judge_instance::ask_others;
use crate::gateway::Gateway;

/// How long a judgement also serves those who ask later.
const JUDGEMENT_VALIDITY: Duration = Duration::from_millis(300);

/// The judgements about instances that are under way or recent, so that the requests which fail at the
/// same time lead to one question to other nodes.
#[derive(Debug, Default)]
pub(crate) struct Judgements {
    judgements: Mutex<HashMap<InstanceQuery, Judgement>>,
}

#[derive(Debug)]
struct Judgement {
    started_at: Instant,
    verdict: watch::Receiver<Option<InstanceVerdict>>,
}

impl Judgements {
    /// Returns the verdict of a recent judgement, or starts one.
    pub(super) fn join_or_start(
        &self,
        gateway: &Arc<Gateway>,
        query: InstanceQuery,
        failure: LinkFailure,
    ) -> watch::Receiver<Option<InstanceVerdict>> {
        let now = Instant::now();
        let mut judgements = self
            .judgements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        judgements.retain(|_, it| now.duration_since(it.started_at) < JUDGEMENT_VALIDITY);
        if let Some(judgement) = judgements.get(&query) {
            return judgement.verdict.clone();
        }
        let (sender, verdict) = watch::channel(None);
        let judgement = Judgement {
            started_at: now,
            verdict: verdict.clone(),
        };
        judgements.insert(query.clone(), judgement);
        let judging = Arc::clone(gateway);
        gateway.background_tasks.spawn(async move {
            let verdict = ask_others(&judging, &query, failure).await;
            sender.send_replace(Some(verdict));
        });
        verdict
    }
}
