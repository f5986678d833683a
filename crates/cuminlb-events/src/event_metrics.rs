//! The Prometheus metrics that count events.

use cuminlb_types::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::{DenialCause, EventKind, RequestOutcome};

/// The codes of the most common refusals before team and service are known. Their series are
/// created at registration.
const REJECTION_CODES: [&str; 3] = ["bad_request", "unauthenticated", "unknown_service"];

/// Counts events.
///
/// Label values are names from the fleet file and constants of the code, never request ids.
#[derive(Clone, Debug, Default)]
pub struct EventMetrics {
    recorded: Family<KindLabels, Counter>,
    ended: Family<EndedLabels, Counter>,
    by_team: Family<TeamLabels, Counter>,
    rejected: Family<RejectedLabels, Counter>,
    retries: Family<ServiceLabels, Counter>,
    denials: Family<DenialLabels, Counter>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct EndedLabels {
    service: String,
    outcome: String,
    code: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct TeamLabels {
    team: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RejectedLabels {
    code: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct DenialLabels {
    service: String,
    cause: String,
}

impl EventMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        for code in REJECTION_CODES {
            let code = code.to_owned();
            let _ = self.rejected.get_or_create(&RejectedLabels { code });
        }
        registry.register(
            "events",
            "Events recorded in the timeline, by kind",
            self.recorded.clone(),
        );
        registry.register(
            "requests_ended",
            "Requests that ended, by service, outcome and refusal code",
            self.ended.clone(),
        );
        registry.register(
            "team_requests_ended",
            "Requests that ended, by team and outcome",
            self.by_team.clone(),
        );
        registry.register(
            "requests_rejected",
            "Requests refused before their team and service were known, by refusal code",
            self.rejected.clone(),
        );
        registry.register(
            "request_retries",
            "Attempts of requests after the first one, by service",
            self.retries.clone(),
        );
        registry.register(
            "slot_denials",
            "Slot requests that were not granted, by service and cause",
            self.denials.clone(),
        );
    }

    /// Creates the series of a service at 0, so that their first increase is seen as an increase.
    pub fn init_series(&self, service: &ServiceId) {
        let service = service.to_string();
        for cause in DenialCause::ALL {
            let _ = self.denials.get_or_create(&DenialLabels {
                service: service.clone(),
                cause: cause.to_string(),
            });
        }
        let _ = self.retries.get_or_create(&ServiceLabels { service });
    }

    /// Returns the number of requests of a team that ended with an outcome.
    pub fn ended_by_team(&self, team: &TeamId, outcome: RequestOutcome) -> u64 {
        let labels = TeamLabels {
            team: team.to_string(),
            outcome: outcome.to_string(),
        };
        self.by_team.get_or_create(&labels).get()
    }

    /// Counts an event.
    pub fn count(&self, event: &EventKind) {
        let kind = event.name();
        self.recorded.get_or_create(&KindLabels { kind }).inc();
        match event {
            EventKind::RequestSent {
                service, attempt, ..
            } if *attempt > 1 => {
                let service = service.to_string();
                self.retries.get_or_create(&ServiceLabels { service }).inc();
            }
            EventKind::RequestRejected { code, .. } => {
                let code = code.to_string();
                self.rejected.get_or_create(&RejectedLabels { code }).inc();
            }
            EventKind::RequestEnded {
                team,
                service,
                outcome,
                code,
                ..
            } => {
                let ended_labels = EndedLabels {
                    service: service.to_string(),
                    outcome: outcome.to_string(),
                    code: code.to_string(),
                };
                self.ended.get_or_create(&ended_labels).inc();
                let team_labels = TeamLabels {
                    team: team.to_string(),
                    outcome: outcome.to_string(),
                };
                self.by_team.get_or_create(&team_labels).inc();
            }
            EventKind::SlotsDenied {
                service,
                cause,
                count,
                ..
            } => {
                let labels = DenialLabels {
                    service: service.to_string(),
                    cause: cause.to_string(),
                };
                self.denials.get_or_create(&labels).inc_by(*count);
            }
            _ => {}
        }
    }
}
