//! Helpers for tests that run `cuminctl`.

use std::process::Output;

use cuminlb_caller::{FleetDocument, FleetStatus};
use cuminlb_test_support::Site;
use tempfile::NamedTempFile;
use tokio::process::Command;

/// Runs `cuminctl` against all nodes of a site.
pub async fn cuminctl(site: &Site, arguments: &[&str]) -> Output {
    Command::new(site.programs().binary("cuminctl"))
        .args(arguments)
        .env("CUMINCTL_NODES", site.operator_addresses())
        .env("CUMINCTL_TOKEN", site.operator_token())
        .output()
        .await
        .unwrap()
}

/// Returns what a program wrote to its standard output.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns what a program wrote to its standard error.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes a text to a temporary file that is deleted when the returned value is dropped.
pub fn write_temp_file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}

/// Returns the path of a file as a command line argument.
pub fn path_argument(file: &NamedTempFile) -> &str {
    file.path().to_str().unwrap()
}

/// Checks the exit status of a program.
pub fn assert_exit_status(output: &Output, code: i32) {
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

/// Returns the active fleet file.
pub async fn current_fleet(site: &Site) -> FleetDocument {
    let output = cuminctl(site, &["show", "--json"]).await;
    assert_exit_status(&output, 0);
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Returns the status of the fleet.
pub async fn status(site: &Site) -> FleetStatus {
    let output = cuminctl(site, &["status", "--json"]).await;
    assert_exit_status(&output, 0);
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Returns the body of a short chat request.
pub fn chat_body() -> String {
    let message = serde_json::json!({ "role": "user", "content": "Who rows at dawn?" });
    serde_json::json!({ "model": "oar-assist", "max_tokens": 2, "messages": [message] }).to_string()
}
