//! Changes the state of one availability zone in the text of a fleet file.

use std::ops::Range;

use cuminlb_types::prelude::*;
use serde::Deserialize;
use toml::Spanned;

use super::{FleetSpec, ZoneEditError, ZoneState};

/// The parts of a fleet file that hold the states of the zones, with their places in the text.
#[derive(Debug)]
#[derive(Deserialize)]
struct ZonePlaces {
    #[serde(default)]
    zone: Vec<ZonePlace>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ZonePlace {
    id: Spanned<String>,
    state: Option<Spanned<String>>,
}

/// Returns the text of a fleet file with the state of one zone changed and all else kept,
/// comments and order included.
///
/// # Errors
///
/// Returns [`ZoneEditError`] when the file has mistakes, does not name the zone, or is written in
/// a way in which the state can't be changed alone.
pub fn set_zone_state(
    text: &str,
    zone: &ZoneId,
    state: ZoneState,
) -> Result<String, ZoneEditError> {
    let mut wanted = FleetSpec::parse("the fleet file in force", text)?;
    let known = wanted.zones.iter().map(|known| known.id.clone()).collect();
    let Some(spec) = wanted.zones.iter_mut().find(|spec| spec.id == *zone) else {
        return Err(ZoneEditError::UnknownZone {
            zone: zone.clone(),
            known,
        });
    };
    if spec.state == state {
        return Ok(text.to_owned());
    }
    spec.state = state;
    let can_not_edit = || ZoneEditError::CanNotEdit { zone: zone.clone() };
    let places: ZonePlaces = toml::from_str(text).map_err(|_| can_not_edit())?;
    let place = places
        .zone
        .into_iter()
        .find(|place| place.id.get_ref() == zone.as_str())
        .ok_or_else(can_not_edit)?;
    let candidates = edits(&place, state).map(|(range, insert)| replaced(text, range, &insert));
    let means_wanted =
        |edited: &String| FleetSpec::parse("", edited).is_ok_and(|spec| spec == wanted);
    candidates
        .into_iter()
        .find(means_wanted)
        .ok_or_else(can_not_edit)
}

/// Returns the edits that may give the state: in the place of the value that is there, or else
/// after the id as a line of its own or within an inline table.
fn edits(place: &ZonePlace, state: ZoneState) -> [(Range<usize>, String); 2] {
    match &place.state {
        Some(value) => {
            let edit = (value.span(), format!("\"{state}\""));
            [edit.clone(), edit]
        }
        None => {
            let end = place.id.span().end;
            [
                (end..end, format!("\nstate = \"{state}\"")),
                (end..end, format!(", state = \"{state}\"")),
            ]
        }
    }
}

fn replaced(text: &str, range: Range<usize>, insert: &str) -> String {
    let mut edited = text.to_owned();
    edited.replace_range(range, insert);
    edited
}
