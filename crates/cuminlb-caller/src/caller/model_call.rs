//! The fields of a model request that a node reads to route it.

use cuminlb_routing::{Refusal, RefusalKind};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr};

/// The fields of a chat or completion request that routing depends on; other fields are forwarded
/// unread.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ModelCall {
    /// The name of the model.
    pub model: SmolStr,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ModelCall {
    /// Parses the fields from a JSON body.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the parse error if the body is not a valid request.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| {
            let reason = error.to_smolstr();
            Refusal::not_run(RefusalKind::BadRequest {
                field: "body",
                reason,
            })
        })
    }
}
