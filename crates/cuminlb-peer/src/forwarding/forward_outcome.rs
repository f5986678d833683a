//! What came of a request that was to be forwarded.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::prelude::*;
use http::{HeaderMap, HeaderValue};

use super::ForwardHeaderError;
use super::forward_headers::{OUTCOME, RETRY_AFTER_MS, take_header};

/// What came of a request that was to be forwarded. With any outcome other than
/// [`Reached`](Self::Reached), the response is the forwarding node's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The response is that of the instance.
    Reached,
    /// The node reaches no instance. The request was not sent.
    NoLinks,
    /// The node does not know the instance, or does not reach it although others may. The request was
    /// not sent.
    UnknownInstance,
    /// The node has too much to do, or stops. The request was not sent.
    Busy,
    /// The instance leaves, or its availability zone is out. The request was not sent.
    Leaving,
    /// The instance wants no requests from the node for a time. The request was not sent.
    Unavailable {
        /// How long.
        retry_after_ms: Millis,
    },
    /// The instance accepts no connection, although the node reaches others. The request was not sent.
    NotConnected,
    /// No byte of the request has left the node.
    NotSent,
    /// The request was sent, and may have run.
    NoResponse,
}

impl ForwardOutcome {
    /// Adds the outcome to the headers of a response.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(self.name()));
        if let Self::Unavailable { retry_after_ms } = self {
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(retry_after_ms.get()));
        }
    }

    /// Takes the outcome out of the headers of a response.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardHeaderError`] if a header is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, ForwardHeaderError> {
        let outcome = take_header(headers, OUTCOME)?;
        if let Self::Unavailable { .. } = outcome {
            let retry_after_ms = Millis(take_header(headers, RETRY_AFTER_MS)?);
            return Ok(Self::Unavailable { retry_after_ms });
        }
        Ok(outcome)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Reached => "reached",
            Self::NoLinks => "no-links",
            Self::UnknownInstance => "unknown-instance",
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::Unavailable { .. } => "unavailable",
            Self::NotConnected => "not-connected",
            Self::NotSent => "not-sent",
            Self::NoResponse => "no-response",
        }
    }
}

impl fmt::Display for ForwardOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for ForwardOutcome {
    type Err = ForwardHeaderError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let retry_after_ms = Millis(0);
        let all = [
            Self::Reached,
            Self::NoLinks,
            Self::UnknownInstance,
            Self::Busy,
            Self::Leaving,
            Self::Unavailable { retry_after_ms },
            Self::NotConnected,
            Self::NotSent,
            Self::NoResponse,
        ];
        let found = all.into_iter().find(|outcome| outcome.name() == text);
        found.ok_or(ForwardHeaderError { name: OUTCOME })
    }
}
