//! The membership, fencing number, warmth and load of an engine's stand-in.

use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineOrder, EngineReport, Membership, OrderKind};
use tokio::time::Instant;

use super::EngineOptions;

/// The state that orders have set, and the load.
#[derive(Debug)]
pub(super) struct EngineState {
    options: EngineOptions,
    incarnation: Incarnation,
    membership: Option<Membership>,
    fencing: FencingNumber,
    /// When the engine started to load the weights, which stay loaded until its process ends.
    loading_since: Option<Instant>,
    running: SlotCount,
    /// When the reported load was last refreshed, and that load.
    reported_load: (Instant, SlotCount),
    /// The highest number of concurrent requests so far.
    peak_running: SlotCount,
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
            reported_load: (Instant::now(), SlotCount(0)),
            peak_running: SlotCount(0),
        }
    }

    /// Executes an order; returns `None` if its fencing number is outdated and is checked.
    pub(super) fn handle_order(&mut self, order: EngineOrder) -> Option<EngineReport> {
        if self.options.checks_fencing && order.fencing < self.fencing {
            return None;
        }
        self.fencing = self.fencing.max(order.fencing);
        match order.kind {
            OrderKind::Load => {
                self.loading_since.get_or_insert_with(Instant::now);
            }
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
        if self.reported_load.0.elapsed() >= self.options.report_lag_ms.duration() {
            self.reported_load = (Instant::now(), self.running);
        }
        EngineReport {
            incarnation: self.incarnation,
            membership: self.membership.clone(),
            fencing: self.fencing,
            warm: self.is_warm(),
            running: self.reported_load.1,
        }
    }

    /// Returns whether the engine is a member of the given group at the given epoch.
    pub(super) fn serves(&self, group: Option<&str>, epoch: Option<&str>) -> bool {
        self.membership.as_ref().is_some_and(|membership| {
            group == Some(membership.group.as_str())
                && epoch.and_then(|epoch| epoch.parse().ok()) == Some(membership.epoch)
        })
    }

    /// Starts the cold start again, if the weights have been loaded before.
    pub(super) fn restart_cold_start(&mut self) {
        self.loading_since = self.loading_since.map(|_| Instant::now());
    }

    /// Counts a started request; returns `false` if the engine is now above its limit.
    pub(super) fn start_request(&mut self) -> bool {
        let limit = if self.is_warm() {
            self.options.warm_limit
        } else {
            self.options.cold_limit
        };
        self.running = self.running.next();
        self.peak_running = self.peak_running.max(self.running);
        self.running <= limit
    }

    pub(super) fn end_request(&mut self) {
        self.running = SlotCount(self.running.get().saturating_sub(1));
    }

    /// Returns the highest number of concurrent requests so far.
    pub(super) const fn peak_running(&self) -> SlotCount {
        self.peak_running
    }

    fn is_warm(&self) -> bool {
        let cold_start = self.options.cold_start_ms.duration();
        self.loading_since
            .is_some_and(|since| since.elapsed() >= cold_start)
    }
}
