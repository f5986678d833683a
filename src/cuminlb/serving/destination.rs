//! Maps a request to a service and to the path at its upstream.

use cuminlb_caller::{CallTarget, CallerRequest};
use cuminlb_config::{FleetSpec, ModelSpec, PlainSpec, ServiceKind, ServiceSpec};
use cuminlb_routing::{Refusal, RefusalKind};
use smol_str::SmolStr;

/// The service that a request is for, and the path at its upstream.
#[derive(Clone, Debug)]
pub(super) struct Destination {
    pub(super) service: ServiceSpec,
    pub(super) path: SmolStr,
}

impl Destination {
    /// Finds the service by the model or the path of a request.
    pub(super) fn find(spec: &FleetSpec, request: &CallerRequest) -> Result<Self, Refusal> {
        let services = &spec.services;
        let found = services.iter().find_map(|service| {
            let path = upstream_path(service, request)?;
            let service = service.clone();
            Some(Self { service, path })
        });
        found.ok_or_else(|| {
            let name = match &request.target {
                CallTarget::Model(call) => call.model.clone(),
                CallTarget::Path => request.path.clone(),
            };
            Refusal::not_run(RefusalKind::UnknownService { name })
        })
    }

    /// Returns whether a request may safely run more than once.
    pub(super) fn is_idempotent(&self, request: &CallerRequest) -> bool {
        self.service
            .is_idempotent(request.method.as_str(), &self.path)
    }

    /// Returns the specification of the model, or `None` for a plain service.
    pub(super) const fn model(&self) -> Option<&ModelSpec> {
        match &self.service.kind {
            ServiceKind::Model(model) => Some(model),
            ServiceKind::Plain(_) => None,
        }
    }
}

/// Returns the path of a request at a service, or `None` if the request is for another service.
fn upstream_path(service: &ServiceSpec, request: &CallerRequest) -> Option<SmolStr> {
    match (&service.kind, &request.target) {
        (ServiceKind::Model(model), CallTarget::Model(call)) => {
            (model.model == call.model).then(|| request.path.clone())
        }
        (ServiceKind::Plain(plain), CallTarget::Path) => plain_path(plain, &request.path),
        (ServiceKind::Model(_), CallTarget::Path)
        | (ServiceKind::Plain(_), CallTarget::Model(_)) => None,
    }
}

fn plain_path(plain: &PlainSpec, path: &str) -> Option<SmolStr> {
    match path.strip_prefix(plain.path_prefix.as_str())? {
        "" => Some("/".into()),
        path if path.starts_with('/') => Some(path.into()),
        _ => None,
    }
}
