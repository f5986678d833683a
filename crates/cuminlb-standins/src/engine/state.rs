//! [`EngineState`].

use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineOrder, EngineReport, Membership, OrderKind};
use tokio::time::Instant;

use super::EngineOptions;

/// What an engine has been ordered to be, and its load.
#[derive(Debug)]
pub(super) struct EngineState {
    options: EngineOptions,
    incarnation: Incarnation,
    membership: Option<Membership>,
    fencing: FencingNumber,
    /// When the engine began to load the weights, which it keeps until its process ends.
    loading_since: Option<Instant>,
    running: SlotCount,
    reported: (Instant, SlotCount),
    highest: SlotCount,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            options,
            incarnation: Incarnation(UnixMillis::now().get()),
            membership: None,
            fencing: FencingNumber(0),
            loading_since: None,
            running: SlotCount(0),
            reported: (Instant::now(), SlotCount(0)),
            highest: SlotCount(0),
        }
    }

    /// Carries out an order, or returns `None` when its fencing number is old.
    pub(super) fn take_order(&mut self, order: EngineOrder) -> Option<EngineReport> {
        if self.options.checks_fencing && order.fencing < self.fencing {
            return None;
        }
        self.fencing = self.fencing.max(order.fencing);
        match order.kind {
            OrderKind::Join { membership, .. } => {
                self.loading_since.get_or_insert_with(Instant::now);
                self.membership = Some(membership);
            }
            OrderKind::Leave { membership } if self.membership.as_ref() == Some(&membership) => {
                self.membership = None;
            }
            OrderKind::Leave { .. } => {}
        }
        Some(self.report())
    }

    pub(super) fn report(&mut self) -> EngineReport {
        if self.reported.0.elapsed() >= self.options.report_lag_ms.duration() {
            self.reported = (Instant::now(), self.running);
        }
        EngineReport {
            incarnation: self.incarnation,
            membership: self.membership.clone(),
            fencing: self.fencing,
            warm: self.is_warm(),
            running: self.reported.1,
        }
    }

    /// Tells whether the engine is in the group at the epoch that a request is for.
    pub(super) fn serves(&self, group: Option<&str>, epoch: Option<&str>) -> bool {
        self.membership.as_ref().is_some_and(|membership| {
            group == Some(membership.group.as_str())
                && epoch.and_then(|epoch| epoch.parse().ok()) == Some(membership.epoch)
        })
    }

    /// Falls back into a cold start.
    pub(super) fn fall_cold(&mut self) {
        self.loading_since = self.loading_since.map(|_| Instant::now());
    }

    /// Starts a request, or returns `false` when it is more than the engine can bear.
    pub(super) fn start_request(&mut self) -> bool {
        let limit = if self.is_warm() {
            self.options.warm_limit
        } else {
            self.options.cold_limit
        };
        self.running = self.running.next();
        self.highest = self.highest.max(self.running);
        self.running <= limit
    }

    pub(super) fn end_request(&mut self) {
        self.running = SlotCount(self.running.get().saturating_sub(1));
    }

    /// Returns the highest number of requests that ran at once.
    pub(super) const fn highest(&self) -> SlotCount {
        self.highest
    }

    fn is_warm(&self) -> bool {
        let cold_start = self.options.cold_start_ms.duration();
        self.loading_since
            .is_some_and(|since| since.elapsed() >= cold_start)
    }
}
