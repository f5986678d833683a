//! Taking an availability zone out of service and back in changes its state and nothing else.

use std::fmt::Write;

use cuminlb_config::{ApiKeyDigest, FleetSpec, ZoneEditError, ZoneState, set_zone_state};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

use crate::support::{FLEET, config};

/// The form in which a zone is written in a file.
#[derive(Clone, Copy, Debug)]
enum Style {
    StateIn,
    StateOut,
    NoState,
    StateFirst,
    Literal,
    Spaced,
}

fn style() -> impl Strategy<Value = Style> {
    prop_oneof![
        Just(Style::StateIn),
        Just(Style::StateOut),
        Just(Style::NoState),
        Just(Style::StateFirst),
        Just(Style::Literal),
        Just(Style::Spaced),
    ]
}

/// Returns a fleet file with zones in these styles. Comments and teams with text that looks like a
/// state surround them.
fn fleet(styles: &[Style], inline: bool, comment: &str, teams: u8) -> String {
    let mut text = format!("# {comment}\n");
    if inline {
        let zones = styles.iter().enumerate().map(|(index, style)| match style {
            Style::StateOut => format!("{{ id = \"z{index}\", region = \"r\", state = \"out\" }}"),
            Style::NoState => format!("{{ id = \"z{index}\", region = \"r\" }}"),
            _ => format!("{{ id = \"z{index}\", region = \"r\", state = \"in\" }}"),
        });
        let _ = writeln!(text, "zone = [{}]", zones.collect::<Vec<_>>().join(", "));
    }
    for team in 0..teams {
        let digest = ApiKeyDigest::compute(&team.to_string());
        let _ = writeln!(
            text,
            "[[team]]\nid = \"state\" # state = \"in\"\napi_key_sha256 = \"{digest}\"\n"
        );
        text = text.replacen("\"state\" #", &format!("\"t{team}\" #"), 1);
    }
    for (index, style) in styles.iter().enumerate().filter(|_| !inline) {
        let zone = match style {
            Style::StateIn => format!("id = \"z{index}\"\nregion = \"r\"\nstate = \"in\""),
            Style::StateOut => format!("id = \"z{index}\"\nregion = \"r\"\nstate = \"out\" # why"),
            Style::NoState => format!("id = \"z{index}\" # {comment}\nregion = \"r\""),
            Style::StateFirst => format!("state = \"in\"\nregion = \"r\"\nid = \"z{index}\""),
            Style::Literal => format!("id = 'z{index}'\nregion = 'r'\nstate = 'in'"),
            Style::Spaced => format!("  id   =  \"z{index}\"\n\n  region=\"r\"\n\tstate  = \"in\""),
        };
        let _ = writeln!(text, "[[zone]]\n{zone}\n");
    }
    text
}

fn parse(text: &str) -> FleetSpec {
    FleetSpec::parse("file", text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

fn state_of(text: &str, zone: &ZoneId) -> ZoneState {
    let fleet = parse(text);
    let zone = fleet.zones.iter().find(|spec| spec.id == *zone);
    zone.unwrap().state
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn out_and_in_again_preserves_the_parsed_file(
        styles in prop::collection::vec(style(), 1..6),
        inline in any::<bool>(),
        comment in "[ -~]{0,30}",
        teams in 0..3_u8,
        chosen in any::<prop::sample::Index>(),
    ) {
        let text = fleet(&styles, inline, &comment, teams);
        let original = parse(&text);
        let zone = original.zones[chosen.index(original.zones.len())].clone();
        let out = set_zone_state(&text, &zone.id, ZoneState::Out).unwrap();
        prop_assert_eq!(state_of(&out, &zone.id), ZoneState::Out);
        let back = set_zone_state(&out, &zone.id, ZoneState::In).unwrap();
        prop_assert_eq!(state_of(&back, &zone.id), ZoneState::In);

        // Everything else is unchanged, and so is the zone itself if it was in.
        let mut expected = original.clone();
        for spec in expected.zones.iter_mut().filter(|spec| spec.id == zone.id) {
            spec.state = ZoneState::In;
        }
        prop_assert_eq!(parse(&back), expected);
        prop_assert_eq!(
            set_zone_state(&back, &zone.id, zone.state).map(|text| parse(&text)),
            Ok(original)
        );

        // Every line except that of the state is unchanged, including comments.
        let unchanged = text.lines().filter(|line| out.lines().any(|other| other == *line)).count();
        prop_assert!(unchanged + 1 >= text.lines().count(), "{text}\n{out}");
    }

    #[test]
    fn any_text_is_edited_or_rejected(
        text in any::<String>(),
        position in any::<prop::sample::Index>(),
    ) {
        let zone: ZoneId = "lami".parse().unwrap();
        let _ = set_zone_state(&text, &zone, ZoneState::Out);
        let mut damaged = FLEET.to_owned();
        damaged.insert_str(damaged.floor_char_boundary(position.index(FLEET.len())), &text);
        if let Ok(edited) = set_zone_state(&damaged, &zone, ZoneState::Out) {
            prop_assert_eq!(state_of(&edited, &zone), ZoneState::Out);
        }
    }
}

#[test]
fn only_the_state_line_changes() {
    let zone: ZoneId = "lami".parse().unwrap();
    let out = set_zone_state(FLEET, &zone, ZoneState::Out).unwrap();
    let changed: Vec<(&str, &str)> = FLEET
        .lines()
        .zip(out.lines())
        .filter(|(old, new)| old != new)
        .collect();
    assert_eq!(changed, [("state = \"in\"", "state = \"out\"")]);
    assert_eq!(FLEET.lines().count(), out.lines().count());
    assert_eq!(set_zone_state(&out, &zone, ZoneState::In).unwrap(), FLEET);
}

#[test]
fn unknown_zone_error_lists_known_zones() {
    let zone: ZoneId = "lamy".parse().unwrap();
    let error = set_zone_state(FLEET, &zone, ZoneState::Out).unwrap_err();
    assert!(matches!(error, ZoneEditError::UnknownZone { .. }));
    let text = error.to_string();
    assert!(text.contains("walu-bay, lami, nasese"), "{text}");
}
