//! `cuminctl timeline`: prints the merged events of all nodes.

use cuminlb_caller::EventsRequest;
use cuminlb_events::EventFilter;
use cuminlb_types::prelude::*;
use gumdrop::Options;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// The number of events of each node that are asked for by default.
const DEFAULT_LIMIT: u32 = 200;

/// The arguments of `cuminctl timeline`.
#[derive(Debug, Options)]
pub(crate) struct TimelineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "only events about this request")]
    request: Option<RequestId>,
    #[options(help = "only events about this group")]
    group: Option<GroupId>,
    #[options(help = "only events about this team")]
    team: Option<TeamId>,
    #[options(help = "only events of nodes in this availability zone")]
    zone: Option<ZoneId>,
    #[options(help = "events of each node, newest first (default 200)")]
    limit: Option<u32>,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &TimelineOptions,
) -> Result<(), CommandError> {
    let filter = EventFilter {
        request: options.request.clone(),
        group: options.group.clone(),
        team: options.team.clone(),
        zone: options.zone.clone(),
        after: None,
    };
    let limit = options.limit.unwrap_or(DEFAULT_LIMIT);
    let events = context
        .client
        .events(&EventsRequest { filter, limit })
        .await?;
    if context.json {
        print_json(&events);
    } else {
        events
            .iter()
            .for_each(|event| print_line(&event.to_string()));
    }
    Ok(())
}
