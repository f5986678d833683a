//! Reads and checks settings files and fleet files.

use std::path::Path;

use cuminlb_config::{FleetSpec, GatewaySettings, NodeSettings};
use smol_str::{SmolStr, ToSmolStr};

use super::ReadError;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`ReadError`] with every mistake of the file.
pub fn check_settings(path: &Path) -> Result<NodeSettings, ReadError> {
    let (file, text) = read(path)?;
    Ok(NodeSettings::parse(&file, &text)?)
}

/// Reads and checks the settings of a node that runs on the users' platform.
///
/// # Errors
///
/// Returns [`ReadError`] with every mistake of the file.
pub fn check_gateway_settings(path: &Path) -> Result<GatewaySettings, ReadError> {
    let (file, text) = read(path)?;
    Ok(GatewaySettings::parse(&file, &text)?)
}

/// Reads and checks a fleet file; returns its text as well.
///
/// # Errors
///
/// Returns [`ReadError`] with every mistake of the file.
pub fn check_fleet(path: &Path) -> Result<(String, FleetSpec), ReadError> {
    let (file, text) = read(path)?;
    let spec = FleetSpec::parse(&file, &text)?;
    Ok((text, spec))
}

fn read(path: &Path) -> Result<(SmolStr, String), ReadError> {
    let file = path.display().to_smolstr();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(ReadError::Unreadable {
            file,
            reason: error.to_smolstr(),
        }),
    }
}
