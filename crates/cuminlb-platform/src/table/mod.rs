//! The platform's transactional table service, and a client that resolves lost responses.

mod commit_evidence;
mod commit_outcome;
mod row;
mod row_check;
mod row_query;
mod row_write;
mod stored_row;
mod table_client;
mod table_error;
mod table_service;
mod transaction;

use self::commit_evidence::CommitEvidence;
pub use self::commit_outcome::CommitOutcome;
pub use self::row::Row;
pub use self::row_check::{Expected, RowCheck};
pub use self::row_query::{RowQuery, RowResponse};
pub use self::row_write::{RowChange, RowWrite};
pub use self::stored_row::StoredRow;
pub use self::table_client::TableClient;
pub use self::table_error::TableError;
pub use self::table_service::TableService;
pub use self::transaction::Transaction;
