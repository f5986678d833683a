//! The settings file of a node.

use cuminlb_types::prelude::*;

use super::{
    ControlSettings, LimitSettings, ListenSettings, LogSettings, PlatformSettings, SecuritySettings,
};
use crate::check::{ConfigError, Problems, TableReader};

/// The settings of a node, as read from its TOML file.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The id of this node.
    pub id: NodeId,
    /// The region that this node runs in.
    pub region: RegionId,
    /// The availability zone that this node runs in.
    pub zone: ZoneId,
    /// The addresses that this node listens on.
    pub listen: ListenSettings,
    /// The addresses of the platform's services and their timeout.
    pub platform: PlatformSettings,
    /// The tokens that authenticate peers and operators.
    pub security: SecuritySettings,
    /// The limits on requests of callers.
    pub limits: LimitSettings,
    /// The timing of the control loops.
    pub control: ControlSettings,
    /// The logging configuration.
    pub log: LogSettings,
}

impl NodeSettings {
    /// Parses the text of a settings file; `file` is its name in the error.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] with all problems of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut problems = Problems::default();
        let settings = TableReader::parse(text, &mut problems).and_then(|mut reader| {
            let settings = Self::read(&mut reader);
            reader.report_unknown_keys();
            settings
        });
        problems.into_result(file, settings)
    }

    fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let id = reader.required("id", "name this node");
        let region = reader.required("region", "name the region of this node");
        let zone = reader.required("zone", "name the availability zone of this node");
        let listen = reader.section("listen", ListenSettings::read);
        let platform = reader.section("platform", PlatformSettings::read);
        let security = reader.section("security", SecuritySettings::read);
        let limits = reader.section("limits", LimitSettings::read);
        let control = reader.section("control", ControlSettings::read);
        let log = reader.section("log", LogSettings::read);
        Some(Self {
            id: id?,
            region: region?,
            zone: zone?,
            listen: listen?,
            platform: platform?,
            security: security?,
            limits,
            control,
            log,
        })
    }
}
