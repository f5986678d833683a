//! [`Message`] and [`Mail`].

use cuminlb_fleet::rows::LeaseRow;
use cuminlb_fleet::standing::TableStatement;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// A message under way.
#[derive(Clone, Debug)]
pub enum Message {
    Read {
        sent_at: Instant,
        look: bool,
    },
    ReadAnswer {
        sent_at: Instant,
        config: ConfigVersion,
        row: Option<(RowVersion, LeaseRow)>,
        look: bool,
    },
    Write {
        sent_at: Instant,
        expected: Option<RowVersion>,
        fencing: FencingNumber,
    },
    WriteAnswer {
        sent_at: Instant,
        fencing: FencingNumber,
        version: Option<RowVersion>,
    },
    Commit,
    CommitAnswer {
        version: ConfigVersion,
    },
    Ask {
        from: usize,
        sent_at: Instant,
    },
    Answer {
        from: usize,
        sent_at: Instant,
        said: TableStatement,
        config: ConfigVersion,
    },
    Notice {
        from: usize,
        read_age_ms: Millis,
        newest: ConfigVersion,
    },
    NoticeTaken {
        from: usize,
    },
}

/// A message with the node whose turn it is; a call to the table is handled at once when due.
#[derive(Clone, Debug)]
pub struct Mail {
    pub due: u64,
    pub node: usize,
    pub incarnation: u32,
    pub message: Message,
}
