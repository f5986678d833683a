//! The parsed headers of a caller's request.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use crate::{Credentials, PromptSize};

/// The parsed headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this attempt of the caller.
    pub id: RequestId,
    /// The host that the request is addressed to, without a port.
    pub host: SmolStr,
    /// The time that the caller waits for the response.
    pub caller_timeout_ms: Option<Millis>,
    /// The credentials of the caller.
    pub credentials: Credentials,
    /// The model that the request is for.
    pub model: Option<ModelId>,
    /// The size of the prompt and the limit for the response.
    pub size: Option<PromptSize>,
    /// The parts of the prompt in order.
    pub prompt_parts: Vec<PromptPartId>,
    /// The caller's estimate of the number of tokens of the response.
    pub response_length_hint: Option<TokenCount>,
    /// The last event that the caller has received.
    pub resume_after: Option<EventId>,
}

impl RequestHead {
    /// Returns the parts of the prompt that other requests may share, that is, all but the last one,
    /// which belongs to the request itself or to its session.
    pub fn shared_prompt_parts(&self) -> &[PromptPartId] {
        let parts = self.prompt_parts.split_last();
        parts.map_or(&[], |(_last, shared)| shared)
    }
}
