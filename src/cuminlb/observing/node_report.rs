//! Builds the report that a node sends to its peers and that operators see.

use cuminlb_config::{FleetSpec, ServiceSpec, TeamSpec};
use cuminlb_events::{GroupReport, NodeReport, RequestOutcome, ServiceReport, TeamReport};
use tokio::time::Instant;

use crate::node::Node;

impl Node {
    /// Returns the state of this node, of the groups that it owns and of its requests.
    pub fn report(&self) -> NodeReport {
        let view = self.view();
        let spec = view.spec();
        NodeReport {
            node: self.id().clone(),
            zone: self.settings.zone.clone(),
            ready: self.is_ready(),
            draining: self.is_draining(),
            config: view.config_version(),
            table_age_ms: self.freshness.age_ms(),
            groups: spec.map_or_else(Vec::new, |spec| self.all_group_reports(spec)),
            services: spec.map_or_else(Vec::new, |spec| self.service_reports(spec)),
            teams: spec.map_or_else(Vec::new, |spec| self.team_reports(spec)),
        }
    }

    /// Returns a report for each group of a service that this node owns.
    pub fn group_reports(&self, service: &ServiceSpec) -> Vec<GroupReport> {
        let max_age_ms = self.settings.control.proof_max_age_ms;
        let now = Instant::now();
        let owned = self.owned.all();
        let owned = owned.iter().filter(|group| group.service == service.id);
        owned
            .map(|group| {
                let warm = group.is_warm();
                GroupReport {
                    group: group.record.id.clone(),
                    epoch: group.record.epoch,
                    serving: group.is_granting(now, max_age_ms),
                    warm,
                    taken: group.taken(),
                    limit: service.slots(warm),
                }
            })
            .collect()
    }

    fn all_group_reports(&self, spec: &FleetSpec) -> Vec<GroupReport> {
        let services = spec.services.iter();
        services
            .flat_map(|service| self.group_reports(service))
            .collect()
    }

    fn service_reports(&self, spec: &FleetSpec) -> Vec<ServiceReport> {
        let requests = &self.metrics.requests;
        let report = |service: &ServiceSpec| {
            let waiting = requests.waiting(&service.id);
            ServiceReport {
                service: service.id.clone(),
                running: requests.in_flight(&service.id).saturating_sub(waiting),
                waiting,
            }
        };
        spec.services.iter().map(report).collect()
    }

    fn team_reports(&self, spec: &FleetSpec) -> Vec<TeamReport> {
        let event_metrics = self.events.metrics();
        let report = |TeamSpec { id: team, .. }: &TeamSpec| TeamReport {
            team: team.clone(),
            in_flight: self.metrics.requests.team_in_flight(team),
            answered: event_metrics.ended_by_team(team, RequestOutcome::Answered),
            not_run: event_metrics.ended_by_team(team, RequestOutcome::NotRun),
            unknown: event_metrics.ended_by_team(team, RequestOutcome::Unknown),
        };
        spec.teams.iter().map(report).collect()
    }
}
