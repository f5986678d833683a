//! `cuminctl top`: shows zones, queues, teams and groups, refreshed periodically.

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

/// The default time between two refreshes, in milliseconds.
const DEFAULT_REFRESH_PERIOD_MS: Millis = Millis(2_000);

/// The terminal escape sequence that clears the screen and moves the cursor to the top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Shows zones, queues, teams and groups, refreshed periodically.
#[derive(Debug, Options)]
pub(crate) struct TopOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "print the state once and exit")]
    once: bool,
    #[options(help = "the refresh period (default 2s)", meta = "DURATION")]
    every: Option<Millis>,
}

/// The state at one time, from which the next refresh computes rates.
struct Snapshot {
    status: FleetStatus,
    taken_at: Instant,
}

/// The groups and slots of an availability zone or a service.
#[derive(Clone, Copy, Debug, Default)]
struct GroupTotals {
    serving: u64,
    groups: u64,
    taken: u64,
    limit: u64,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &TopOptions,
) -> Result<(), CommandError> {
    let refresh_period_ms = options.every.unwrap_or(DEFAULT_REFRESH_PERIOD_MS);
    let mut previous: Option<Snapshot> = None;
    loop {
        let status = match context.client.fleet_status().await {
            Ok(status) => status,
            Err(error @ OperatorClientError::NoResponse { .. }) if !options.once => {
                eprintln!("{error}");
                tokio::time::sleep(refresh_period_ms.duration()).await;
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
            print_snapshot(&status, previous.as_ref(), taken_at);
        }
        if options.once {
            return Ok(());
        }
        previous = Some(Snapshot { status, taken_at });
        tokio::time::sleep(refresh_period_ms.duration()).await;
    }
}

fn print_snapshot(status: &FleetStatus, previous: Option<&Snapshot>, taken_at: Instant) {
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
    print_teams(status, previous, taken_at);
}

fn print_zones(status: &FleetStatus) {
    let mut table = TextTable::new(["ZONE", "STATE", "GROUPS SERVING", "SLOTS TAKEN"]);
    for zone in &status.zones {
        let totals = group_totals(status, |_, group_zone| *group_zone == zone.id);
        let state = if zone.takes_work { "in" } else { "out" };
        let GroupTotals {
            serving,
            groups,
            taken,
            limit,
        } = totals;
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
        let totals = group_totals(status, |id, _| *id == service.id);
        let reports = status.nodes.iter().flat_map(|node| &node.services);
        let reports = reports.filter(|report| report.service == service.id);
        let (running, waiting) = reports.fold((0, 0), |(running, waiting), report| {
            (running + report.running, waiting + report.waiting)
        });
        table.push([
            service.id.to_string(),
            format!("{}/{}", totals.serving, totals.groups),
            service.wanted.to_string(),
            format!("{}/{}", totals.taken, totals.limit),
            running.to_string(),
            waiting.to_string(),
        ]);
    }
    table.print();
}

fn print_teams(status: &FleetStatus, previous: Option<&Snapshot>, taken_at: Instant) {
    let previous_totals = previous.map(|previous| team_totals(&previous.status));
    let interval_s = previous.map_or(1.0, |previous| (taken_at - previous.taken_at).as_secs_f64());
    let mut table = TextTable::new([
        "TEAM",
        "IN FLIGHT",
        "ANSWERED",
        "NOT RUN",
        "UNKNOWN",
        "ANSWERED/S",
        "NOT RUN/S",
    ]);
    for (team, current) in team_totals(status) {
        let previous_totals = previous_totals
            .as_ref()
            .and_then(|previous_totals| previous_totals.get(&team));
        let rate = |count: fn(&TeamReport) -> u64| {
            previous_totals.map_or_else(
                || "-".to_owned(),
                |previous_totals| {
                    let increase = count(&current).saturating_sub(count(previous_totals)) as f64;
                    format!("{:.1}", increase / interval_s)
                },
            )
        };
        table.push([
            team.to_string(),
            current.in_flight.to_string(),
            current.answered.to_string(),
            current.not_run.to_string(),
            current.unknown.to_string(),
            rate(|report| report.answered),
            rate(|report| report.not_run),
        ]);
    }
    table.print();
}

/// Sums up the groups that `is_included` selects by service and availability zone, and their slots.
fn group_totals(
    status: &FleetStatus,
    is_included: impl Fn(&ServiceId, &ZoneId) -> bool,
) -> GroupTotals {
    let mut totals = GroupTotals::default();
    for service in &status.services {
        for group in &service.groups {
            if !is_included(&service.id, &group.zone) {
                continue;
            }
            totals.groups += 1;
            totals.serving += u64::from(group.is_serving());
            if let Some(owned) = group.owned {
                totals.taken += u64::from(owned.taken.get());
                totals.limit += u64::from(owned.limit.get());
            }
        }
    }
    totals
}

/// Sums up the reports of all nodes for each team.
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
