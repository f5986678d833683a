//! What an entry of a load report counts.

use cuminlb_types::prelude::*;

/// Separates the parts of a name. The names of extra entries begin with it, which ids of instances are
/// assumed not to do.
const SEPARATOR: &str = "//";

/// The first part of the names of requests that yield.
const YIELDING: &str = "yielding";

/// The first part of the names of the requests of teams.
const TEAM: &str = "team";

/// What an entry of a load report counts.
///
/// Entries have the form of instance ids, so that nodes of earlier versions add them up too.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadKey {
    /// The requests in flight at an instance.
    Instance(InstanceId),
    /// Those of them that yield to others and have not begun.
    Yielding(InstanceId),
    /// The requests of a team in flight at the groups of a model.
    Team {
        /// The service.
        service: ServiceId,
        /// The model.
        model: ModelId,
        /// The team.
        team: TeamId,
    },
}

impl LoadKey {
    /// Returns the key of an entry. A name that does not have the form of an extra entry is that of an
    /// instance.
    pub fn parse(name: &InstanceId) -> Self {
        let extra = name.as_str().strip_prefix(SEPARATOR);
        let extra = extra.and_then(Self::parse_extra);
        extra.unwrap_or_else(|| Self::Instance(name.clone()))
    }

    fn parse_extra(name: &str) -> Option<Self> {
        let (kind, rest) = name.split_once(SEPARATOR)?;
        match kind {
            YIELDING => Some(Self::Yielding(rest.parse().ok()?)),
            TEAM => {
                let (service, rest) = rest.split_once(SEPARATOR)?;
                let (model, team) = rest.split_once(SEPARATOR)?;
                Some(Self::Team {
                    service: service.parse().ok()?,
                    model: model.parse().ok()?,
                    team: team.parse().ok()?,
                })
            }
            _ => None,
        }
    }

    /// Returns the team if this counts the requests of one at the groups of a model.
    pub fn team_of(&self, service: &ServiceId, model: &ModelId) -> Option<&TeamId> {
        match self {
            Self::Team {
                service: its_service,
                model: its_model,
                team,
            } if its_service == service && its_model == model => Some(team),
            _ => None,
        }
    }

    /// Returns the name of the entry; `None` if it would be too long for one, or would be read as that of
    /// another key because an id contains the separator.
    pub fn name(&self) -> Option<InstanceId> {
        let name = match self {
            Self::Instance(id) => return Some(id.clone()),
            Self::Yielding(id) => format!("{SEPARATOR}{YIELDING}{SEPARATOR}{id}"),
            Self::Team {
                service,
                model,
                team,
            } => {
                format!("{SEPARATOR}{TEAM}{SEPARATOR}{service}{SEPARATOR}{model}{SEPARATOR}{team}")
            }
        };
        let name = name.parse().ok();
        name.filter(|name| Self::parse(name) == *self)
    }
}
