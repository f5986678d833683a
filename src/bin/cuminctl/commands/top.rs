//! `cuminctl top`: shows zones, queues, teams and groups, again and again.

use std::collections::BTreeMap;

use cuminlb::ops::OperatorClientError;
use cuminlb_caller::FleetStatus;
use cuminlb_events::TeamReport;
use cuminlb_types::prelude::*;
use gumdrop::Options;
use tokio::time::Instant;

use super::output::{print_json, print_line, try_print_line};
use super::text_table::TextTable;
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// The time between two views.
const DEFAULT_EVERY: Millis = Millis(2_000);

/// Clears the screen and goes to its first line.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Shows zones, queues, teams and groups, again and again.
#[derive(Debug, Options)]
pub(crate) struct TopOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "print one view and end")]
    once: bool,
    #[options(help = "the time between two views (default 2s)", meta = "DURATION")]
    every: Option<Millis>,
}

/// A view and when it was taken, from which the next one computes rates.
struct View {
    status: FleetStatus,
    taken_at: Instant,
}

/// What is counted for each availability zone and each service.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    serving: u64,
    groups: u64,
    taken: u64,
    limit: u64,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &TopOptions,
) -> Result<(), CommandError> {
    let every_ms = options.every.unwrap_or(DEFAULT_EVERY);
    let mut last: Option<View> = None;
    loop {
        let status = match context.client.fleet_status().await {
            Ok(status) => status,
            Err(error @ OperatorClientError::NoNode { .. }) if !options.once => {
                eprintln!("{error}");
                tokio::time::sleep(every_ms.duration()).await;
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        let taken_at = Instant::now();
        if !options.once && try_print_line(CLEAR_SCREEN).is_err() {
            return Ok(());
        }
        if context.json || options.json {
            print_json(&status);
        } else {
            print_view(&status, last.as_ref(), taken_at);
        }
        if options.once {
            return Ok(());
        }
        last = Some(View { status, taken_at });
        tokio::time::sleep(every_ms.duration()).await;
    }
}

fn print_view(status: &FleetStatus, last: Option<&View>, taken_at: Instant) {
    let ready = status.nodes.iter().filter(|node| node.ready).count();
    print_line(&format!(
        "configuration {}, {ready} of {} nodes ready, {} silent",
        status.config,
        status.nodes.len() + status.silent.len(),
        status.silent.len()
    ));
    print_line("");
    print_zones(status);
    print_line("");
    print_services(status);
    print_line("");
    print_teams(status, last, taken_at);
}

fn print_zones(status: &FleetStatus) {
    let mut table = TextTable::new(["ZONE", "STATE", "GROUPS SERVING", "SLOTS TAKEN"]);
    for zone in &status.zones {
        let load = load_of(status, |_, group_zone| *group_zone == zone.id);
        let state = if zone.takes_work { "in" } else { "out" };
        let Load {
            serving,
            groups,
            taken,
            limit,
        } = load;
        table.push([
            zone.id.to_string(),
            state.to_owned(),
            format!("{serving}/{groups}"),
            format!("{taken}/{limit}"),
        ]);
    }
    table.print();
}

fn print_services(status: &FleetStatus) {
    let mut table = TextTable::new([
        "SERVICE",
        "GROUPS SERVING",
        "WANTED",
        "SLOTS TAKEN",
        "RUNNING",
        "WAITING",
    ]);
    for service in &status.services {
        let load = load_of(status, |id, _| *id == service.id);
        let reports = status.nodes.iter().flat_map(|node| &node.services);
        let reports = reports.filter(|report| report.service == service.id);
        let (running, waiting) = reports.fold((0, 0), |(running, waiting), report| {
            (running + report.running, waiting + report.waiting)
        });
        table.push([
            service.id.to_string(),
            format!("{}/{}", load.serving, load.groups),
            service.wanted.to_string(),
            format!("{}/{}", load.taken, load.limit),
            running.to_string(),
            waiting.to_string(),
        ]);
    }
    table.print();
}

fn print_teams(status: &FleetStatus, last: Option<&View>, taken_at: Instant) {
    let before = last.map(|last| team_totals(&last.status));
    let over_s = last.map_or(1.0, |last| (taken_at - last.taken_at).as_secs_f64());
    let mut table = TextTable::new([
        "TEAM",
        "IN FLIGHT",
        "ANSWERED",
        "NOT RUN",
        "UNKNOWN",
        "ANSWERED/S",
        "NOT RUN/S",
    ]);
    for (team, now) in team_totals(status) {
        let before = before.as_ref().and_then(|before| before.get(&team));
        let rate = |count: fn(&TeamReport) -> u64| {
            before.map_or_else(
                || "-".to_owned(),
                |before| {
                    let gained = count(&now).saturating_sub(count(before)) as f64;
                    format!("{:.1}", gained / over_s)
                },
            )
        };
        table.push([
            team.to_string(),
            now.in_flight.to_string(),
            now.answered.to_string(),
            now.not_run.to_string(),
            now.unknown.to_string(),
            rate(|report| report.answered),
            rate(|report| report.not_run),
        ]);
    }
    table.print();
}

/// Adds up the groups of a zone or a service.
fn load_of(status: &FleetStatus, wanted: impl Fn(&ServiceId, &ZoneId) -> bool) -> Load {
    let mut load = Load::default();
    for service in &status.services {
        for group in &service.groups {
            if !wanted(&service.id, &group.zone) {
                continue;
            }
            load.groups += 1;
            load.serving += u64::from(group.is_serving());
            if let Some(owned) = group.owned {
                load.taken += u64::from(owned.taken.get());
                load.limit += u64::from(owned.limit.get());
            }
        }
    }
    load
}

/// Adds up what all nodes report of each team.
fn team_totals(status: &FleetStatus) -> BTreeMap<TeamId, TeamReport> {
    let mut totals = BTreeMap::new();
    for report in status.nodes.iter().flat_map(|node| &node.teams) {
        totals
            .entry(report.team.clone())
            .and_modify(|total: &mut TeamReport| {
                total.in_flight += report.in_flight;
                total.answered += report.answered;
                total.not_run += report.not_run;
                total.unknown += report.unknown;
            })
            .or_insert_with(|| report.clone());
    }
    totals
}
