//! What several tests of the programs share.

use std::process::Output;

use cuminlb_test_support::Site;
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
