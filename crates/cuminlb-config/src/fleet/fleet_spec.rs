//! [`FleetSpec`].

use cuminlb_types::prelude::*;

use super::{MeasureWeights, ServiceSpec, TeamSpec, ZoneSpec, ZoneState};
use crate::check::{ConfigError, Problems, TableReader};

/// The whole desired state, as the fleet file gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// How the deployment weighs the measures against each other.
    pub weights: MeasureWeights,
    /// The availability zones.
    pub zones: Vec<ZoneSpec>,
    /// The teams of callers.
    pub teams: Vec<TeamSpec>,
    /// The served models and the plain services.
    pub services: Vec<ServiceSpec>,
}

impl FleetSpec {
    /// Reads a fleet from the text of a file named `file`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] with every mistake of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut problems = Problems::default();
        let fleet = TableReader::parse(text, &mut problems).map(|mut reader| {
            let fleet = Self::read(&mut reader);
            reader.finish();
            fleet
        });
        problems.finish(file, fleet)
    }

    /// Returns the service of an id.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the team of an id.
    pub fn team(&self, id: &TeamId) -> Option<&TeamSpec> {
        self.teams.iter().find(|team| team.id == *id)
    }

    /// Tells whether a zone takes new work; a zone that the file does not name takes none.
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
            reader.reject("zone", "none", "at least one [[zone]] is needed");
        }
        Self {
            weights,
            zones,
            teams,
            services,
        }
    }
}
