//! The JSON body of an error response to a caller.

use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

/// The JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: RefusalFields,
}

/// The fields of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalFields {
    /// The stable error code for programs.
    pub code: SmolStr,
    /// The reason for people.
    pub message: SmolStr,
    /// Whether the request may have been executed.
    pub run_state: RunState,
    /// The id of the request, by which operators find it in the timeline.
    pub request_id: RequestId,
    /// The delay after which the caller may retry.
    pub retry_after_ms: Option<Millis>,
}

impl RefusalBody {
    /// Creates the body for the refusal of a request.
    pub fn new(refusal: &Refusal, request_id: &RequestId) -> Self {
        let error = RefusalFields {
            code: refusal.kind.code().into(),
            message: refusal.kind.to_smolstr(),
            run_state: refusal.run_state,
            request_id: request_id.clone(),
            retry_after_ms: refusal.retry_after_ms,
        };
        Self { error }
    }

    /// Returns the body as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
