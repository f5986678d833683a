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

/// The number of events of each node that are asked for by default.
const DEFAULT_LIMIT: u32 = 200;

/// The number of events of each node that are asked for at once while following.
const FOLLOW_LIMIT: u32 = 8_192;

/// The pause between two looks while following.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

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
        help = "only events since then: `10m` ago, or a time",
        meta = "TIME"
    )]
    since: Option<TimePoint>,
    #[options(no_short, help = "only events until then", meta = "TIME")]
    until: Option<TimePoint>,
    #[options(short = "f", help = "go on printing events as they happen")]
    follow: bool,
    #[options(short = "n", help = "the newest events of each node (default 200)")]
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
        note_seen(&mut request, &report);
        request.limit = FOLLOW_LIMIT;
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
        limit: options.limit.unwrap_or(DEFAULT_LIMIT),
        ..EventsRequest::default()
    }
}

/// Prints events as they happen until the reader of the output has gone.
async fn follow(
    context: &CommandContext,
    mut request: EventsRequest,
    json: bool,
) -> Result<(), CommandError> {
    let mut silent = BTreeSet::new();
    let mut warned = false;
    loop {
        tokio::time::sleep(FOLLOW_PAUSE).await;
        match context.client.events(&request).await {
            Ok(report) => {
                let silent_now = report.silent.iter().cloned().collect();
                warn_silent(&silent_now, &silent);
                silent = silent_now;
                warned = false;
                if print_events(&report.events, json).is_err() {
                    return Ok(());
                }
                note_seen(&mut request, &report);
            }
            Err(error @ OperatorClientError::NoNode { .. }) if !warned => {
                eprintln!("{error}");
                warned = true;
            }
            Err(OperatorClientError::NoNode { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Remembers the last event of each node.
fn note_seen(request: &mut EventsRequest, report: &EventsReport) {
    for event in &report.events {
        let seen = request.seen.entry(event.node.clone()).or_default();
        *seen = (*seen).max(event.time);
    }
}

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
