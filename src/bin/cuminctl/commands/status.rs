//! `cuminctl status`: prints the state of nodes and groups.

use cuminlb_caller::{GroupStatus, NodeStatus, OwnedGroupStatus};
use gumdrop::Options;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// The arguments of `cuminctl status`.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn exec(
    context: &CommandContext,
    _options: &StatusOptions,
) -> Result<(), CommandError> {
    let status = context.client.status().await?;
    if context.json {
        print_json(&status);
    } else {
        print_status(&status);
    }
    Ok(())
}

fn print_status(status: &NodeStatus) {
    let ready = if status.ready { "ready" } else { "not ready" };
    print_line(&format!("node {} in {}: {ready}", status.node, status.zone));
    print_line(&format!("configuration {}", status.config));
    print_line(&format!("nodes listed: {}", status.nodes.len()));
    for service in &status.services {
        let groups = service.groups.len();
        print_line(&format!(
            "service {}: {groups} of {} groups",
            service.id, service.wanted
        ));
        for group in &service.groups {
            print_line(&format!("  {}", group_line(group)));
        }
    }
}

fn group_line(group: &GroupStatus) -> String {
    let state = match &group.owned {
        Some(OwnedGroupStatus {
            serving,
            warm,
            taken,
            limit,
        }) => {
            let serving = if *serving { "serving" } else { "not serving" };
            let warm = if *warm { "warm" } else { "cold" };
            format!("{serving}, {warm}, {taken} of {limit} slots taken")
        }
        None if group.missing.is_empty() => "owned elsewhere".to_owned(),
        None => format!("broken, {} members missing", group.missing.len()),
    };
    let members = group.members.len();
    format!(
        "{} epoch {} in {}, {members} members: {state}",
        group.id, group.epoch, group.zone
    )
}
