//! The root of the fleet file.

use cuminlb_types::prelude::*;

use super::{MeasureWeights, ServiceSpec, TeamSpec, ZoneSpec, ZoneState};
use crate::check::{ConfigError, Problems, TableReader};

/// The complete desired state, as read from the fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// The relative weights of the measures.
    pub weights: MeasureWeights,
    /// The availability zones.
    pub zones: Vec<ZoneSpec>,
    /// The teams of callers.
    pub teams: Vec<TeamSpec>,
    /// The model services and the plain services.
    pub services: Vec<ServiceSpec>,
}

impl FleetSpec {
    /// Parses the text of a fleet file; `file` is its name in the error.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] with all problems of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut problems = Problems::default();
        let fleet = TableReader::parse(text, &mut problems).map(|mut reader| {
            let fleet = Self::read(&mut reader);
            reader.report_unknown_keys();
            fleet
        });
        problems.into_result(file, fleet)
    }

    /// Returns the service with an id.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the team with an id.
    pub fn team(&self, id: &TeamId) -> Option<&TeamSpec> {
        self.teams.iter().find(|team| team.id == *id)
    }

    /// Returns whether an availability zone accepts new work. A zone that is not in the file
    /// accepts none.
    pub fn zone_is_in(&self, id: &ZoneId) -> bool {
        self.zones
            .iter()
            .any(|zone| zone.id == *id && zone.state == ZoneState::In)
    }

    fn read(reader: &mut TableReader<'_>) -> Self {
        let weights = reader.section("measures", MeasureWeights::read);
        let zones = reader.sections("zone", ZoneSpec::read);
        let teams = reader.sections("team", TeamSpec::read);
        let mut services = reader.sections("model_service", ServiceSpec::read_model);
        services.extend(reader.sections("plain_service", ServiceSpec::read_plain));
        reader.check_unique("zone.id", zones.iter().map(|zone| &zone.id));
        reader.check_unique("team.id", teams.iter().map(|team| &team.id));
        reader.check_unique(
            "team.api_key_sha256",
            teams.iter().map(|team| &team.api_key),
        );
        reader.check_unique("service.id", services.iter().map(|service| &service.id));
        if zones.is_empty() {
            reader.reject("zone", "none", "at least one [[zone]] is required");
        }
        Self {
            weights,
            zones,
            teams,
            services,
        }
    }
}
