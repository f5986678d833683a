//! `cuminctl status`: prints the state of all nodes and groups.

use cuminlb_caller::{FleetStatus, GroupStatus, OwnedGroupStatus};
use cuminlb_types::prelude::*;
use gumdrop::Options;

use super::output::{print_json, print_line};
use super::text_table::TextTable;
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// Prints the state of all nodes and groups.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(
        no_short,
        help = "exit with status 9 unless all nodes are ready and all groups are serving"
    )]
    check: bool,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &StatusOptions,
) -> Result<(), CommandError> {
    let status = context.client.fleet_status().await?;
    if context.json || options.json {
        print_json(&status);
    } else {
        print_status(&status);
    }
    if options.check && !status.is_healthy() {
        return Err(CommandError::NotHealthy);
    }
    Ok(())
}

fn print_status(status: &FleetStatus) {
    print_line(&format!("configuration {}", status.config));
    for zone in &status.zones {
        let state = if zone.takes_work { "in" } else { "out" };
        print_line(&format!("zone {} is {state}", zone.id));
    }
    print_line("");
    print_nodes(status);
    for node in &status.silent {
        print_line(&format!("{node} gave no answer"));
    }
    print_line("");
    print_groups(status);
}

fn print_nodes(status: &FleetStatus) {
    let mut table = TextTable::new(["NODE", "ZONE", "STATE", "CONFIG", "TABLE HEARD", "GROUPS"]);
    for node in &status.nodes {
        let state = match (node.draining, node.ready) {
            (true, _) => "draining",
            (false, true) => "ready",
            (false, false) => "not ready",
        };
        table.push([
            node.node.to_string(),
            node.zone.to_string(),
            state.to_owned(),
            node.config.to_string(),
            format_table_age(node.table_age_ms),
            node.groups.len().to_string(),
        ]);
    }
    table.print();
}

fn format_table_age(table_age_ms: Option<Millis>) -> String {
    table_age_ms.map_or_else(|| "never".to_owned(), |age_ms| format!("{age_ms} ago"))
}

fn print_groups(status: &FleetStatus) {
    let mut table = TextTable::new([
        "SERVICE", "GROUP", "EPOCH", "ZONE", "OWNER", "STATE", "SLOTS", "MEMBERS",
    ]);
    for service in &status.services {
        for group in &service.groups {
            let owner = group.owner.as_ref().map(NodeId::to_string);
            table.push([
                service.id.to_string(),
                group.id.to_string(),
                group.epoch.to_string(),
                group.zone.to_string(),
                owner.unwrap_or_else(|| "-".to_owned()),
                describe_group_state(group),
                format_slots(group.owned),
                group.members.len().to_string(),
            ]);
        }
    }
    table.print();
    for service in &status.services {
        let (formed, wanted) = (service.groups.len(), service.wanted);
        let serving = service.groups.iter().filter(|group| group.is_serving());
        print_line(&format!(
            "service {}: {} serve, {formed} formed, {wanted} wanted",
            service.id,
            serving.count()
        ));
    }
}

fn describe_group_state(group: &GroupStatus) -> String {
    if let Some(first) = group.missing.first() {
        return format!("broken, {} missing, first {first}", group.missing.len());
    }
    let state = match group.owned {
        None => "not owned",
        Some(OwnedGroupStatus { serving: false, .. }) => "not serving",
        Some(OwnedGroupStatus { warm: false, .. }) => "serving, cold",
        Some(_) => "serving",
    };
    state.to_owned()
}

fn format_slots(owned: Option<OwnedGroupStatus>) -> String {
    owned.map_or_else(
        || "-".to_owned(),
        |owned| format!("{}/{}", owned.taken, owned.limit),
    )
}
