//! The operators' desired state, indexed for the lookups of a request.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use crate::{ApiKey, AuthenticationError, CallerBounds, Credentials, Route, Team, UpstreamService};

/// One complete version of the operators' desired state.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The version, which only increases.
    pub version: ConfigVersion,
    /// The services behind the routes.
    pub services: HashMap<ServiceId, Arc<UpstreamService>>,
    /// The limits on callers' requests and connections.
    pub bounds: CallerBounds,
    /// The routes of each host, sorted by descending prefix length.
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    /// The team of each key; `None` if callers do not authenticate.
    teams: Option<HashMap<ApiKey, Team>>,
}

impl Catalog {
    /// Creates a catalog and indexes its routes and services.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<UpstreamService>,
        bounds: CallerBounds,
        teams: Option<HashMap<ApiKey, Team>>,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.id.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            services,
            bounds,
            routes: by_host,
            teams,
        }
    }

    /// Returns the route of a host whose prefix is the longest one that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the team that a request on a route counts for, if any.
    ///
    /// Credentials that are there must be the key of a team, also on a route that needs none: a key
    /// that was taken away works nowhere. A catalog without teams ignores them.
    ///
    /// # Errors
    ///
    /// Returns an error if the credentials do not allow the request.
    pub fn authenticate(
        &self,
        credentials: &Credentials,
        route: &Route,
    ) -> Result<Option<&Team>, AuthenticationError> {
        if self.teams.is_none() {
            return Ok(None);
        }
        match credentials {
            Credentials::Missing if route.allows_anonymous => Ok(None),
            Credentials::Missing => Err(AuthenticationError::MissingKey),
            Credentials::Key(key) => self
                .team(key)
                .map(Some)
                .ok_or(AuthenticationError::UnknownKey),
            Credentials::Invalid => Err(AuthenticationError::UnknownKey),
        }
    }

    /// Returns the team that a key belongs to.
    pub fn team(&self, key: &ApiKey) -> Option<&Team> {
        self.teams.as_ref()?.get(key)
    }

    /// Returns the services whose instances form groups.
    pub fn engine_services(&self) -> impl Iterator<Item = &Arc<UpstreamService>> {
        let services = self.services.values();
        services.filter(|service| service.engine.is_some())
    }
}
