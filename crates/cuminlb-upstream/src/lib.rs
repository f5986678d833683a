//! The edge towards model engines and plain services.
//!
//! [`EngineControl`] is the interface by which a node watches an instance and gives it orders.
//! [`UpstreamClient`] carries callers' requests and tells, for each failure, whether the request
//! may have run. [`EventDecoder`] cuts a streamed answer into whole events.

mod http_engine_control;
mod order;
mod stream;
mod upstream_client;
mod upstream_error;

pub use crate::http_engine_control::HttpEngineControl;
pub use crate::order::{
    EngineControl, EngineOrder, EngineReport, GroupMember, Membership, OrderError, OrderKind,
};
pub use crate::stream::{ChunkId, DONE_MARKER, EventDecoder, StreamError, StreamEvent};
pub use crate::upstream_client::{
    EPOCH_HEADER, GROUP_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, RUN_STATE_HEADER,
    RUN_STATE_NOT_RUN, RUNNING_PATH, TIMEOUT_HEADER, UpstreamClient,
};
pub use crate::upstream_error::UpstreamError;
