//! Files that come from outside are read or refused by a list of mistakes, and never panic.

use cuminlb_config::{CallPattern, ConfigError, FleetSpec, NodeSettings};
use proptest::prelude::*;

use crate::support::{FLEET, SETTINGS, config};

/// Values of every TOML type, in and out of every bound.
fn value() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:?}")),
        any::<bool>().prop_map(|flag| flag.to_string()),
        Just("nan".to_owned()),
        Just("-inf".to_owned()),
        Just("1979-05-27T07:32:00Z".to_owned()),
        Just("[]".to_owned()),
        Just("[[1], {a = 2}]".to_owned()),
        Just("{}".to_owned()),
        "[ -!#-\\[\\]-~]{0,20}".prop_map(|text| format!("\"{text}\"")),
        (any::<u64>(), "(ns|us|ms|s|m|h|d|y)")
            .prop_map(|(number, unit)| format!("\"{number}{unit}\"")),
        Just("\"255.255.255.255:65535\"".to_owned()),
        Just("\"[::1]:0\"".to_owned()),
    ]
}

/// Replaces the value of one line of a file.
fn with_value(text: &str, line: prop::sample::Index, value: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let assignments: Vec<usize> = (0..lines.len())
        .filter(|index| lines[*index].contains(" = "))
        .collect();
    let chosen = assignments[line.index(assignments.len())];
    let changed = lines.iter().enumerate().map(|(index, line)| {
        if index != chosen {
            return format!("{line}\n");
        }
        let (key, _) = line.split_once(" = ").unwrap();
        format!("{key} = {value}\n")
    });
    changed.collect()
}

/// A refusal says at least one mistake, each on its own line.
fn check_error(error: &ConfigError) {
    assert!(!error.problems.is_empty());
    assert!(error.to_string().starts_with("file has "), "{error}");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_read_or_refused(text in any::<String>()) {
        FleetSpec::parse("file", &text).err().iter().for_each(check_error);
        NodeSettings::parse("file", &text).err().iter().for_each(check_error);
    }

    #[test]
    fn any_value_of_a_fleet_key_is_read_or_refused(
        line in any::<prop::sample::Index>(),
        value in value(),
    ) {
        let text = with_value(FLEET, line, &value);
        FleetSpec::parse("file", &text).err().iter().for_each(check_error);
    }

    #[test]
    fn any_value_of_a_settings_key_is_read_or_refused(
        line in any::<prop::sample::Index>(),
        value in value(),
    ) {
        let text = with_value(SETTINGS, line, &value);
        match NodeSettings::parse("file", &text) {
            Err(error) => check_error(&error),
            Ok(settings) => {
                let shown = format!("{settings:?}");
                prop_assert!(!shown.contains("change-me"), "a secret is shown: {shown}");
            }
        }
    }

    #[test]
    fn damaged_files_are_read_or_refused(
        cut in any::<prop::sample::Index>(),
        place in any::<prop::sample::Index>(),
        character in any::<char>(),
    ) {
        for text in [FLEET, SETTINGS] {
            let mut damaged = text[..text.floor_char_boundary(cut.index(text.len()))].to_owned();
            let place = damaged.floor_char_boundary(place.index(damaged.len() + 1));
            damaged.insert(place, character);
            FleetSpec::parse("file", &damaged).err().iter().for_each(check_error);
            NodeSettings::parse("file", &damaged).err().iter().for_each(check_error);
        }
    }

    #[test]
    fn any_pattern_matches_or_not(pattern in any::<String>(), path in any::<String>()) {
        if let Ok(pattern) = pattern.parse::<CallPattern>() {
            let _ = pattern.matches("POST", &path);
        }
    }
}

#[test]
fn a_damaged_settings_file_never_shows_a_secret() {
    let secret_start = "change-me";
    let end = SETTINGS.find("[limits]").unwrap();
    for cut in SETTINGS.find("[security]").unwrap()..end {
        for character in ["", "\"", "'", "\\", "\n", "\n=", "\nlog = 1\n["] {
            let damaged = format!("{}{character}", &SETTINGS[..cut]);
            let shown = match NodeSettings::parse("file", &damaged) {
                Ok(settings) => format!("{settings:?}"),
                Err(error) => error.to_string(),
            };
            assert!(!shown.contains(secret_start), "{shown}");
        }
    }
}
