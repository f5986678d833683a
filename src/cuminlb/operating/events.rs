//! Merges the events of all nodes.

use cuminlb_caller::{EventsReport, EventsRequest};
use cuminlb_peer::EventsQuery;
use futures_util::future::join_all;

use crate::node::Node;

/// The largest number of events of one node in a response.
const MAX_EVENTS: u32 = 8_192;

/// Requests the events of every listed node and merges them in their causal order.
pub(super) async fn merged_events(node: &Node, request: &EventsRequest) -> EventsReport {
    let limit = request.limit.min(MAX_EVENTS);
    node.flush_denials();
    let own_filter = request.filter_for(node.id());
    let own_limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut report = EventsReport {
        events: node.events.select(&own_filter, own_limit),
        silent: Vec::new(),
    };
    let peers = node.peers.all();
    let calls = peers.iter().map(async |(id, link)| {
        let filter = request.filter_for(id);
        let events = link.events(EventsQuery { filter, limit }).await;
        events.map_err(|_| id.clone())
    });
    for response in join_all(calls).await {
        match response {
            Ok(events) => report.events.extend(events),
            Err(id) => report.silent.push(id),
        }
    }
    report
        .events
        .sort_by(|a, b| (a.time, &a.node).cmp(&(b.time, &b.node)));
    report.silent.sort();
    report
}
