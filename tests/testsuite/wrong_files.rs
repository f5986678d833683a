//! Tests that the checks of settings and fleet files report all mistakes at once.

use std::path::{Path, PathBuf};
use std::process::Command;

use cuminlb_config::{FleetSpec, NodeSettings};
use tempfile::TempDir;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

fn run(program: &str, arguments: &[&str], file: &Path) -> (Option<i32>, String) {
    let output = Command::new(program)
        .args(arguments)
        .arg(file)
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

#[test]
fn every_mistake_of_the_settings_is_reported() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("node.toml");
    let text = std::fs::read_to_string(repository().join("settings/node.toml")).unwrap();
    let text = text
        .replace("zone = \"walu-bay\"", "")
        .replace("caller = \"127.0.0.1:8080\"", "caller = \"localhost:8080\"")
        .replace("lease_margin = \"500ms\"", "lease_margin = \"3s\"")
        .replace(
            "max_body_bytes = 1048576",
            "max_body_bytes = 10\nmax_bodies = 3",
        )
        .replace(
            "peer_token = \"change-me-change-me\"",
            "peer_token = \"short\"",
        );
    std::fs::write(&file, text).unwrap();
    let (code, errors) = run(env!("CARGO_BIN_EXE_cuminlb"), &["--check"], &file);
    assert_eq!(code, Some(2), "{errors}");
    for expected in [
        "6 mistake(s)",
        "`zone` is missing",
        "`listen.caller` = `localhost:8080`",
        "`limits.max_body_bytes` = `10B`: must be from 1024B to 67108864B",
        "`limits.max_bodies` is not a known key",
        "`control.lease_margin` = `3s`: must be at most half of lease_length",
        "`security.peer_token` = `5 bytes`: must have at least 16 bytes",
    ] {
        assert!(errors.contains(expected), "no `{expected}` in:\n{errors}");
    }
}

#[test]
fn every_mistake_of_the_fleet_file_is_reported() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("fleet.toml");
    let text = std::fs::read_to_string(repository().join("fleets/authority.toml")).unwrap();
    let text = text
        .replacen("state = \"in\"", "state = \"away\"", 1)
        .replace(
            "cold_slots = 2\nfencing = \"checked\"",
            "cold_slots = 99\nfencing = \"maybe\"",
        )
        .replace("id = \"nasese\"", "id = \"lami\"")
        .replace("\"POST /reservations\"", "\"post reservations\"")
        .replacen("rate_per_s = 60.0", "rate_per_s = 0.0", 1);
    std::fs::write(&file, text).unwrap();
    let (code, errors) = run(env!("CARGO_BIN_EXE_cuminctl"), &["check"], &file);
    assert_eq!(code, Some(2), "{errors}");
    for expected in [
        "6 mistake(s)",
        "`zone[0].state` = `away`",
        "`model_service[0].cold_slots` = `99`: must not be above warm_slots",
        "`model_service[0].fencing` = `maybe`",
        "`zone.id` = `lami`: stands more than once",
        "`plain_service[0].non_idempotent` = `post reservations`",
        "`team[0].rate_per_s` = `0/s`",
    ] {
        assert!(errors.contains(expected), "no `{expected}` in:\n{errors}");
    }
}

#[test]
fn example_files_are_valid() {
    let settings = std::fs::read_to_string(repository().join("settings/node.toml")).unwrap();
    NodeSettings::parse("node.toml", &settings).unwrap();
    for name in ["authority", "association"] {
        let path = repository().join(format!("fleets/{name}.toml"));
        let text = std::fs::read_to_string(path).unwrap();
        let fleet = FleetSpec::parse(name, &text).unwrap();
        assert_eq!(fleet.zones.len(), 3);
        assert_eq!(fleet.teams.len(), 10);
    }
}
