//! The transactional table service.

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
mod written_back;

pub use self::commit_outcome::CommitOutcome;
pub use self::row::Row;
pub use self::row_check::{Expected, RowCheck};
pub use self::row_query::{RowAnswer, RowQuery};
pub use self::row_write::{RowChange, RowWrite};
pub use self::stored_row::StoredRow;
pub use self::table_client::Table;
pub use self::table_error::TableError;
pub use self::table_service::TableService;
pub use self::transaction::Transaction;
use self::written_back::WrittenBack;
