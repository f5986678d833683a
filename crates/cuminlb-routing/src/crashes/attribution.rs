//! The attribution of crashes to causes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{CrashCause, CrashRecord, QuarantinedCause};

/// The number of crashes at which a cause is quarantined.
const QUARANTINE_THRESHOLD_CRASHES: usize = 3;

/// Crashes within this time of each other count once: a lost rack or zone ends many instances at the
/// same moment.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);

/// Returns the causes that explain the crashes.
///
/// A crash counts for each candidate that has not run successfully since. The candidate of most
/// crashes is held responsible for all of them, and the rest is attributed to other causes in the
/// same way. What only shared a prompt, an instance or a caller with a cause is therefore not held
/// responsible. `success` returns when a cause last ran without a crash. Of equal candidates, the one
/// that never ran, or whose last success is the oldest, is responsible; a part of a prompt before the
/// request that contains it, since other requests with that part would crash instances too.
pub fn attribute_crashes(
    records: &[CrashRecord],
    success: impl Fn(&CrashCause) -> Option<Instant>,
) -> Vec<QuarantinedCause> {
    let mut unexplained: Vec<&CrashRecord> = records.iter().collect();
    unexplained.sort_by_key(|record| record.at);
    let mut quarantined = Vec::new();
    loop {
        let mut crashes: BTreeMap<&CrashCause, Vec<Instant>> = BTreeMap::new();
        for record in &unexplained {
            let suspects = record.candidates.suspects().iter();
            let unproved = suspects.filter(|cause| success(cause).is_none_or(|at| at <= record.at));
            for cause in unproved {
                add_crash(crashes.entry(cause).or_default(), record.at);
            }
        }
        let rank = |cause: &CrashCause, times: &[Instant]| {
            let is_shared = matches!(cause, CrashCause::PromptPart(_));
            (times.len(), Reverse(success(cause)), is_shared)
        };
        let responsible = crashes
            .into_iter()
            .filter(|(_, times)| times.len() >= QUARANTINE_THRESHOLD_CRASHES)
            .max_by(|(a, a_times), (b, b_times)| rank(a, a_times).cmp(&rank(b, b_times)));
        let Some((cause, times)) = responsible else {
            return quarantined;
        };
        let (Some(&since), Some(&last_crash_at)) =
            (times.get(QUARANTINE_THRESHOLD_CRASHES - 1), times.last())
        else {
            return quarantined;
        };
        let cause = cause.clone();
        unexplained.retain(|record| !record.candidates.suspects().contains(&cause));
        quarantined.push(QuarantinedCause {
            cause,
            since,
            last_crash_at,
        });
    }
}

/// Adds the time of a crash, unless the one before was at about the same time.
fn add_crash(times: &mut Vec<Instant>, at: Instant) {
    let is_same = times
        .last()
        .is_some_and(|last| at.duration_since(*last) < COMMON_CAUSE_WINDOW);
    if !is_same {
        times.push(at);
    }
}
