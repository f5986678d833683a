//! The builder that describes a test site and starts it.

use cuminlb_types::prelude::*;

use crate::{ModelPlan, PlainPlan, Site, SiteError};

/// The description of a test site: nodes, zones and services.
#[derive(Clone, Debug)]
pub struct SiteBuilder {
    pub(crate) region: String,
    pub(crate) zones: Vec<String>,
    pub(crate) nodes: u32,
    pub(crate) model_services: Vec<ModelPlan>,
    pub(crate) plain_services: Vec<PlainPlan>,
    pub(crate) list_lag_ms: Millis,
    pub(crate) extra_settings: String,
}

impl Default for SiteBuilder {
    fn default() -> Self {
        Self {
            region: "viti-levu".to_owned(),
            zones: ["walu-bay", "lami", "nasese"].map(str::to_owned).to_vec(),
            nodes: 3,
            model_services: Vec::new(),
            plain_services: Vec::new(),
            list_lag_ms: Millis(200),
            extra_settings: String::new(),
        }
    }
}

impl SiteBuilder {
    /// Sets the number of nodes, which are distributed over the zones round-robin.
    #[must_use]
    pub const fn nodes(mut self, nodes: u32) -> Self {
        self.nodes = nodes;
        self
    }

    /// Sets the availability zones.
    #[must_use]
    pub fn zones(mut self, zones: &[&str]) -> Self {
        self.zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self
    }

    /// Adds a model service.
    #[must_use]
    pub fn model(mut self, model: ModelPlan) -> Self {
        self.model_services.push(model);
        self
    }

    /// Adds a plain service.
    #[must_use]
    pub fn plain(mut self, plain: PlainPlan) -> Self {
        self.plain_services.push(plain);
        self
    }

    /// Appends TOML tables such as `[limits]` to the settings of every node.
    #[must_use]
    pub fn settings(mut self, toml: &str) -> Self {
        self.extra_settings.push_str(toml);
        self
    }

    /// Starts every process of the site without applying the fleet file.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if a process can't be started or does not respond.
    pub async fn start(self) -> Result<Site, SiteError> {
        Site::start(self).await
    }

    /// Starts every process, applies the fleet file and waits until every group is serving.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if a process can't be started or the groups are not serving in time.
    pub async fn start_serving(self) -> Result<Site, SiteError> {
        let site = self.start().await?;
        site.apply(&site.fleet_toml()).await?;
        site.wait_serving().await?;
        Ok(site)
    }
}
