//! [`ModelCall`].

use cuminlb_routing::{Refusal, RefusalKind};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr};

/// The fields of a chat or completion request that decide its way; the rest is passed through.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ModelCall {
    /// The model.
    pub model: SmolStr,
    /// Whether the answer is streamed by server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ModelCall {
    /// Reads the fields out of a JSON body.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that names the field that can't be read.
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
