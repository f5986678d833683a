//! The attempts of one request that are open at the same time.

use std::collections::BTreeSet;

use cuminlb_types::prelude::*;

use super::Selection;
use super::open_attempt::OpenAttempt;

/// Decides when and where a request may be sent once more, and which of its attempts stay open.
///
/// An instance that has fallen silent may still respond. Its attempt therefore stays open while
/// another one is made, and ends only when another one has delivered a part of the response.
///
/// A request may run on a limited number of instances. An instance whose attempt was cancelled has
/// not failed, and may be sent the request again, which adds no instance.
#[derive(Clone, Debug)]
pub struct OpenAttempts {
    max_instances: u32,
    may_retry: bool,
    started: u32,
    /// The open attempts in the order in which they were started.
    open: Vec<OpenAttempt>,
    /// The instances of the attempts that have ended and may have run.
    instances: BTreeSet<InstanceId>,
    /// The instances that have refused the request or have not responded to it.
    failed: BTreeSet<InstanceId>,
    /// The attempt that the caller's response comes from.
    selected: Option<AttemptNumber>,
}

impl OpenAttempts {
    /// Allows a request to run on `max_instances` instances, or once if it must not be retried once
    /// it may have run.
    pub const fn new(max_instances: u32, may_retry: bool) -> Self {
        Self {
            max_instances,
            may_retry,
            started: 0,
            open: Vec::new(),
            instances: BTreeSet::new(),
            failed: BTreeSet::new(),
            selected: None,
        }
    }

    /// Returns whether no attempt is open.
    pub const fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the number of attempts so far.
    pub const fn started(&self) -> u32 {
        self.started
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        !self.open.is_empty() || !self.instances.is_empty()
    }

    /// Returns whether the request may run once more beside the open attempts, on another instance or
    /// on one that has not failed.
    pub fn may_run_again(&self) -> bool {
        let may_run_on = |instance| self.may_run_on(instance);
        let cut = self.open.iter().filter(|attempt| attempt.has_lost_link);
        let mut known = self.instances.iter().chain(cut.map(|it| &it.instance));
        self.may_run_on_another() || known.any(may_run_on)
    }

    /// Returns whether the request may run on an instance now.
    pub fn may_run_on(&self, instance: &InstanceId) -> bool {
        let is_known = self.may_retry && self.has_instance(instance);
        let is_excluded = self.failed.contains(instance) || self.is_open_on(instance);
        !is_excluded && (is_known || self.may_run_on_another())
    }

    /// Returns whether an attempt is open that has not fallen silent.
    pub fn has_responsive_attempt(&self) -> bool {
        self.open.iter().any(|attempt| !attempt.is_silent)
    }

    /// Returns whether the caller's response comes from an attempt.
    pub fn is_selected(&self, number: AttemptNumber) -> bool {
        self.selected == Some(number)
    }

    /// Starts an attempt on an instance, which counts until the attempt ends without a run.
    pub fn start(&mut self, instance: InstanceId) -> AttemptNumber {
        let number = AttemptNumber(self.started);
        self.started += 1;
        self.open.push(OpenAttempt {
            number,
            instance,
            is_silent: false,
            has_lost_link: false,
        });
        number
    }

    /// Records that an attempt has fallen silent. It stays open.
    pub fn record_silence(&mut self, number: AttemptNumber) {
        let attempt = self.open.iter_mut().find(|it| it.number == number);
        if let Some(attempt) = attempt {
            attempt.is_silent = true;
        }
    }

    /// Records that the link which an attempt uses is lost. It stays open, but the request may be sent to
    /// its instance by another way, which adds no instance.
    pub fn record_lost_link(&mut self, number: AttemptNumber) {
        let attempt = self.open.iter_mut().find(|it| it.number == number);
        if let Some(attempt) = attempt {
            attempt.is_silent = true;
            attempt.has_lost_link = true;
        }
    }

    /// Records that an attempt has ended without a response.
    pub fn record_end(&mut self, number: AttemptNumber, may_have_run: bool) {
        for attempt in self.open.extract_if(.., |it| it.number == number) {
            if may_have_run {
                self.instances.insert(attempt.instance.clone());
            }
            self.failed.insert(attempt.instance);
        }
    }

    /// Records that an open attempt has delivered a part of the response that the caller does not
    /// have. All others end, because parts of two runs must not be mixed.
    pub fn select(&mut self, number: AttemptNumber) -> Selection {
        let others = |attempt: &&OpenAttempt| attempt.number != number;
        let has_later = self.open.iter().filter(others).any(|it| it.number > number);
        let has_earlier = self.open.iter().filter(others).any(|it| it.number < number);
        let cancelled = self.open.extract_if(.., |it| it.number != number);
        self.instances.extend(cancelled.map(|it| it.instance));
        for attempt in &mut self.open {
            attempt.is_silent = false;
        }
        let previous = self.selected.replace(number);
        if has_earlier || previous.is_some_and(|previous| previous != number) {
            Selection::Moved
        } else if has_later {
            Selection::WentOn
        } else {
            Selection::Unchanged
        }
    }

    /// Returns whether the request may run on an instance that it has not been sent to.
    fn may_run_on_another(&self) -> bool {
        !self.may_have_run() || self.may_retry && self.instance_count() < self.max_instances
    }

    fn is_open_on(&self, instance: &InstanceId) -> bool {
        self.open
            .iter()
            .any(|attempt| attempt.instance == *instance && !attempt.has_lost_link)
    }

    /// Returns whether an instance already counts among those that may have run the request.
    fn has_instance(&self, instance: &InstanceId) -> bool {
        let mut open = self.open.iter().map(|attempt| &attempt.instance);
        self.instances.contains(instance) || open.any(|it| it == instance)
    }

    /// Returns the number of instances that may have run the request.
    fn instance_count(&self) -> u32 {
        let open = self.open.iter().map(|attempt| &attempt.instance);
        let all: BTreeSet<&InstanceId> = self.instances.iter().chain(open).collect();
        all.len() as u32
    }
}
