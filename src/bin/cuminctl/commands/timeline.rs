//! `cuminctl timeline`: prints the merged events of all nodes.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use cuminlb::ops::{OperatorClientError, TimePoint};
use cuminlb_caller::{EventsReport, EventsRequest};
use cuminlb_events::{Event, EventFilter};
use cuminlb_types::prelude::*;
use gumdrop::Options;

use super::output::try_print_line;
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// The default number of events that are requested of each node.
const DEFAULT_EVENT_LIMIT: u32 = 200;

/// The number of events that are requested of each node per poll while following.
const FOLLOW_EVENT_LIMIT: u32 = 8_192;

/// The pause between two polls while following.
const FOLLOW_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Prints the merged events of all nodes.
#[derive(Debug, Options)]
pub(crate) struct TimelineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON, one event a line")]
    json: bool,
    #[options(no_short, help = "only events about this request")]
    request: Option<RequestId>,
    #[options(no_short, help = "only events about this group")]
    group: Option<GroupId>,
    #[options(no_short, help = "only events about this team")]
    team: Option<TeamId>,
    #[options(no_short, help = "only events about this service")]
    service: Option<ServiceId>,
    #[options(no_short, help = "only events of nodes in this zone or about it")]
    zone: Option<ZoneId>,
    #[options(
        no_short,
        help = "only events since this time: `10m` for ten minutes ago, or a timestamp",
        meta = "TIME"
    )]
    since: Option<TimePoint>,
    #[options(no_short, help = "only events until this time", meta = "TIME")]
    until: Option<TimePoint>,
    #[options(short = "f", help = "continue to print events as they occur")]
    follow: bool,
    #[options(
        short = "n",
        help = "the number of newest events per node (default 200)"
    )]
    limit: Option<u32>,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &TimelineOptions,
) -> Result<(), CommandError> {
    let json = context.json || options.json;
    let mut request = events_request(options);
    let report = context.client.events(&request).await?;
    warn_silent(&report.silent.iter().cloned().collect(), &BTreeSet::new());
    let printed = print_events(&report.events, json);
    if options.follow && printed.is_ok() {
        record_seen(&mut request, &report);
        request.limit = FOLLOW_EVENT_LIMIT;
        follow(context, request, json).await?;
    }
    Ok(())
}

fn events_request(options: &TimelineOptions) -> EventsRequest {
    let now_ms = UnixMillis::now();
    let filter = EventFilter {
        request: options.request.clone(),
        group: options.group.clone(),
        team: options.team.clone(),
        service: options.service.clone(),
        zone: options.zone.clone(),
        since_ms: options.since.map(|since| since.resolve(now_ms)),
        until_ms: options.until.map(|until| until.resolve(now_ms)),
        after: None,
    };
    EventsRequest {
        filter,
        limit: options.limit.unwrap_or(DEFAULT_EVENT_LIMIT),
        ..EventsRequest::default()
    }
}

/// Polls for new events and prints them until the standard output is closed.
///
/// While no node responds, polling continues; the error is printed once per outage.
async fn follow(
    context: &CommandContext,
    mut request: EventsRequest,
    json: bool,
) -> Result<(), CommandError> {
    let mut silent = BTreeSet::new();
    let mut warned = false;
    loop {
        tokio::time::sleep(FOLLOW_POLL_PERIOD).await;
        match context.client.events(&request).await {
            Ok(report) => {
                let now_silent = report.silent.iter().cloned().collect();
                warn_silent(&now_silent, &silent);
                silent = now_silent;
                warned = false;
                if print_events(&report.events, json).is_err() {
                    return Ok(());
                }
                record_seen(&mut request, &report);
            }
            Err(error @ OperatorClientError::NoResponse { .. }) if !warned => {
                eprintln!("{error}");
                warned = true;
            }
            Err(OperatorClientError::NoResponse { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Records the last event of each node in the request, so that the next poll returns later ones.
fn record_seen(request: &mut EventsRequest, report: &EventsReport) {
    for event in &report.events {
        let seen = request.seen.entry(event.node.clone()).or_default();
        *seen = (*seen).max(event.time);
    }
}

/// Prints a warning for each node that did not respond and has not been warned about.
fn warn_silent(silent: &BTreeSet<NodeId>, warned: &BTreeSet<NodeId>) {
    for node in silent.difference(warned) {
        eprintln!("node {node} gave no answer; its events are absent");
    }
}

fn print_events(events: &[Event], json: bool) -> io::Result<()> {
    events.iter().try_for_each(|event| {
        if json {
            try_print_line(&serde_json::to_string(event).unwrap_or_default())
        } else {
            try_print_line(&event.to_string())
        }
    })
}
