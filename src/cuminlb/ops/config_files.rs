//! Loads settings files and fleet files from disk and validates them.

use std::path::Path;

use cuminlb_config::{FleetSpec, GatewaySettings, NodeSettings};
use smol_str::{SmolStr, ToSmolStr};

use super::ConfigFileError;

/// Loads and validates a settings file.
///
/// # Errors
///
/// Returns [`ConfigFileError`] if the file can't be read or is invalid, listing every error in it.
pub fn load_settings(path: &Path) -> Result<NodeSettings, ConfigFileError> {
    let (file, text) = read_file(path)?;
    Ok(NodeSettings::parse(&file, &text)?)
}

/// Loads and validates the settings of a node that runs on the users' platform.
///
/// # Errors
///
/// As [`load_settings`].
pub fn load_gateway_settings(path: &Path) -> Result<GatewaySettings, ConfigFileError> {
    let (file, text) = read_file(path)?;
    Ok(GatewaySettings::parse(&file, &text)?)
}

/// Loads and validates a fleet file; returns its text and the parsed specification.
///
/// # Errors
///
/// As [`load_settings`].
pub fn load_fleet_file(path: &Path) -> Result<(String, FleetSpec), ConfigFileError> {
    let (file, text) = read_file(path)?;
    let spec = FleetSpec::parse(&file, &text)?;
    Ok((text, spec))
}

fn read_file(path: &Path) -> Result<(SmolStr, String), ConfigFileError> {
    let file = path.display().to_smolstr();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(ConfigFileError::Unreadable {
            file,
            reason: error.to_smolstr(),
        }),
    }
}
