//! Invalid files are rejected with a list of problems. Parsing never panics, and no error or
//! `Debug` output reveals a secret.

use cuminlb_config::{CallPattern, ConfigError, FleetSpec, NodeSettings};
use proptest::prelude::*;

use crate::support::{FLEET, SETTINGS, config};

/// Generates values of every TOML type, within and outside the bounds.
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

/// Replaces the value of one assignment of a file.
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

/// Checks that an error lists at least one problem and names the file.
fn check_error(error: &ConfigError) {
    assert!(!error.problems.is_empty());
    assert!(error.to_string().starts_with("file has "), "{error}");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_parsed_or_rejected(text in any::<String>()) {
        FleetSpec::parse("file", &text).err().iter().for_each(check_error);
        NodeSettings::parse("file", &text).err().iter().for_each(check_error);
    }

    #[test]
    fn any_value_of_a_fleet_key_is_parsed_or_rejected(
        line in any::<prop::sample::Index>(),
        value in value(),
    ) {
        let text = with_value(FLEET, line, &value);
        FleetSpec::parse("file", &text).err().iter().for_each(check_error);
    }

    #[test]
    fn any_value_of_a_settings_key_is_parsed_or_rejected(
        line in any::<prop::sample::Index>(),
        value in value(),
    ) {
        let text = with_value(SETTINGS, line, &value);
        match NodeSettings::parse("file", &text) {
            Err(error) => check_error(&error),
            Ok(settings) => {
                let debug_text = format!("{settings:?}");
                prop_assert!(!debug_text.contains("change-me"), "secret revealed: {debug_text}");
            }
        }
    }

    #[test]
    fn damaged_files_are_parsed_or_rejected(
        cut in any::<prop::sample::Index>(),
        position in any::<prop::sample::Index>(),
        character in any::<char>(),
    ) {
        for text in [FLEET, SETTINGS] {
            let mut damaged = text[..text.floor_char_boundary(cut.index(text.len()))].to_owned();
            let position = damaged.floor_char_boundary(position.index(damaged.len() + 1));
            damaged.insert(position, character);
            FleetSpec::parse("file", &damaged).err().iter().for_each(check_error);
            NodeSettings::parse("file", &damaged).err().iter().for_each(check_error);
        }
    }

    #[test]
    fn matching_any_pattern_does_not_panic(pattern in any::<String>(), path in any::<String>()) {
        if let Ok(pattern) = pattern.parse::<CallPattern>() {
            let _ = pattern.matches("POST", &path);
        }
    }
}

#[test]
fn damaged_settings_file_does_not_reveal_a_secret() {
    let secret_prefix = "change-me";
    let end = SETTINGS.find("[limits]").unwrap();
    for cut in SETTINGS.find("[security]").unwrap()..end {
        for character in ["", "\"", "'", "\\", "\n", "\n=", "\nlog = 1\n["] {
            let damaged = format!("{}{character}", &SETTINGS[..cut]);
            let output = match NodeSettings::parse("file", &damaged) {
                Ok(settings) => format!("{settings:?}"),
                Err(error) => error.to_string(),
            };
            assert!(!output.contains(secret_prefix), "{output}");
        }
    }
}
