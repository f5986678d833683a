//! The rows that the system stores in the platform's table.
//!
//! | row | written by | when |
//! |---|---|---|
//! | `config/head` | the node through which an operator applies a configuration | an apply |
//! | `roster/SERVICE` | the holder of `lease/plan/SERVICE`, owners of its groups | a group changes |
//! | `instance/INSTANCE` | with the roster, in the same transaction | an instance joins or leaves a group |
//! | `lease/NAME` | its holder | acquisition, renewal and release |
//! | `claim/DIGEST` | the node that sends a non-idempotent request | before the request is sent, and at its end |

mod claim_name;
mod claim_row;
mod claim_state;
mod config_body;
mod config_digest;
mod config_row;
mod group_record;
mod group_state;
mod instance_row;
mod lease_row;
mod recorded_response;
mod roster;
mod row_keys;

pub use self::claim_name::ClaimName;
pub use self::claim_row::ClaimRow;
pub use self::claim_state::ClaimState;
pub use self::config_body::ConfigBody;
pub use self::config_digest::ConfigDigest;
pub use self::config_row::ConfigRow;
pub use self::group_record::GroupRecord;
pub use self::group_state::GroupState;
pub use self::instance_row::InstanceRow;
pub use self::lease_row::LeaseRow;
pub use self::recorded_response::{RecordedBody, RecordedResponse};
pub use self::roster::Roster;
pub use self::row_keys::RowKeys;
