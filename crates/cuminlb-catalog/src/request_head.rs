//! [`RequestHead`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use crate::{ApiKey, PromptSize};

/// What the headers of a caller's request say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this try of the caller's.
    pub id: RequestId,
    /// The host that the request is for, without a port.
    pub host: SmolStr,
    /// The time that the caller waits.
    pub patience_ms: Option<Millis>,
    /// The key of the caller's team.
    pub key: Option<ApiKey>,
    /// The model that must answer.
    pub model: Option<ModelId>,
    /// The size of the prompt and of the answer.
    pub size: Option<PromptSize>,
    /// The answer's length as the caller guesses it.
    pub guessed_answer: Option<TokenCount>,
    /// The last event that the caller has had.
    pub resume_after: Option<EventId>,
}
