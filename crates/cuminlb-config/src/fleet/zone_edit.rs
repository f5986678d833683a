//! Changes the state of an availability zone in the text of a fleet file, as `cuminctl zone` does.

use std::ops::Range;

use cuminlb_types::prelude::*;
use serde::Deserialize;
use toml::Spanned;

use super::{FleetSpec, ZoneEditError, ZoneState};

/// The part of a fleet file with the states of the zones, including their positions in the text.
#[derive(Debug)]
#[derive(Deserialize)]
struct ZoneSpans {
    #[serde(default)]
    zone: Vec<ZoneSpan>,
}

/// The positions of the id and the state of a zone in the text.
#[derive(Debug)]
#[derive(Deserialize)]
struct ZoneSpan {
    id: Spanned<String>,
    state: Option<Spanned<String>>,
}

/// Returns the text of a fleet file with the state of an availability zone changed and everything
/// else unchanged, including comments and order.
///
/// Each candidate edit is verified: the edited text must parse to the expected specification.
///
/// # Errors
///
/// Returns [`ZoneEditError`] if the file is invalid, does not contain the zone, or is written in a
/// form in which the state can't be changed without changing anything else.
pub fn set_zone_state(
    text: &str,
    zone: &ZoneId,
    state: ZoneState,
) -> Result<String, ZoneEditError> {
    let mut expected = FleetSpec::parse("the active fleet file", text)?;
    let known = expected.zones.iter().map(|spec| spec.id.clone()).collect();
    let Some(spec) = expected.zones.iter_mut().find(|spec| spec.id == *zone) else {
        return Err(ZoneEditError::UnknownZone {
            zone: zone.clone(),
            known,
        });
    };
    if spec.state == state {
        return Ok(text.to_owned());
    }
    spec.state = state;
    let unsupported_form = || ZoneEditError::UnsupportedForm { zone: zone.clone() };
    let spans: ZoneSpans = toml::from_str(text).map_err(|_| unsupported_form())?;
    let span = spans
        .zone
        .into_iter()
        .find(|span| span.id.get_ref() == zone.as_str())
        .ok_or_else(unsupported_form)?;
    let candidates = candidate_edits(&span, state)
        .map(|(range, replacement)| with_replacement(text, range, &replacement));
    let is_expected =
        |edited: &String| FleetSpec::parse("", edited).is_ok_and(|spec| spec == expected);
    candidates
        .into_iter()
        .find(is_expected)
        .ok_or_else(unsupported_form)
}

/// Returns the edits that may set the state: they replace an existing value, or add the key after
/// the id, either on a separate line or within an inline table.
fn candidate_edits(span: &ZoneSpan, state: ZoneState) -> [(Range<usize>, String); 2] {
    match &span.state {
        Some(value) => {
            let edit = (value.span(), format!("\"{state}\""));
            [edit.clone(), edit]
        }
        None => {
            let end = span.id.span().end;
            [
                (end..end, format!("\nstate = \"{state}\"")),
                (end..end, format!(", state = \"{state}\"")),
            ]
        }
    }
}

/// Returns the text with a range of bytes replaced.
fn with_replacement(text: &str, range: Range<usize>, replacement: &str) -> String {
    let mut edited = text.to_owned();
    edited.replace_range(range, replacement);
    edited
}
