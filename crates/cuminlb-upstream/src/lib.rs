//! The client side towards upstreams: model engines and plain services.
//!
//! [`EngineControl`] is the interface through which a node probes an instance and sends it orders.
//! [`UpstreamClient`] forwards callers' requests and reports, for each failure, whether the request
//! may have run. [`EventDecoder`] splits a streamed response into complete events.

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
    RUN_STATE_NOT_RUN, RUNNING_PATH_PREFIX, TIMEOUT_HEADER, UpstreamClient,
};
pub use crate::upstream_error::UpstreamError;
