//! The messages of the simulation.

use cuminlb_fleet::freshness::TableReport;
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// A request, response or notice between nodes, or between a node and the table.
#[derive(Clone, Debug)]
pub enum Message {
    Read {
        sent_at: Instant,
        checks_lease: bool,
    },
    ReadResponse {
        sent_at: Instant,
        config: ConfigVersion,
        row: Option<(RowVersion, LeaseRow)>,
        checks_lease: bool,
    },
    Write {
        sent_at: Instant,
        expected: Option<RowVersion>,
        fencing: FencingNumber,
    },
    WriteResponse {
        sent_at: Instant,
        fencing: FencingNumber,
        version: Option<RowVersion>,
    },
    Commit,
    CommitResponse {
        version: ConfigVersion,
    },
    ReportRequest {
        from: usize,
        sent_at: Instant,
    },
    Report {
        from: usize,
        sent_at: Instant,
        report: TableReport,
        config: ConfigVersion,
    },
    Notice {
        from: usize,
        read_age_ms: Millis,
        newest: ConfigVersion,
    },
    NoticeAck {
        from: usize,
    },
}

/// A message in flight, with the node that receives it. A request to the table names the node
/// that sent it, and is handled as soon as it is due.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub due_tick: u64,
    pub node: usize,
    pub incarnation: u32,
    pub message: Message,
}
