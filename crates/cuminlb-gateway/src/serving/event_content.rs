//! Tells what an event of a stream contains.

use cuminlb_routing::EventContent;
use cuminlb_upstream::StreamEvent;

/// Returns what an event of a stream contains.
pub(super) fn event_content(event: &StreamEvent) -> EventContent {
    match event {
        StreamEvent::Done { .. } => EventContent::End,
        StreamEvent::Chunk { data, .. } if data.is_empty() => EventContent::Nothing,
        StreamEvent::Chunk { .. } => EventContent::Piece,
    }
}
