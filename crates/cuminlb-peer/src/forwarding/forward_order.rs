//! What a node asks of the node that forwards its request.

use cuminlb_types::prelude::*;
use http::{HeaderMap, HeaderValue};

use super::ForwardHeaderError;
use super::forward_headers::{INCARNATION, INSTANCE, REMAINING_MS, REQUEST, take_header};

/// Where a request is to be forwarded, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardOrder {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The id of the request, which the response of the instance names.
    pub request: RequestId,
    /// The time until the deadline of the request.
    pub remaining_ms: Millis,
}

impl ForwardOrder {
    /// Adds the order to the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardHeaderError`] if an id can't be sent in a header.
    pub fn write(&self, headers: &mut HeaderMap) -> Result<(), ForwardHeaderError> {
        let values = [
            (INSTANCE, self.instance.to_string()),
            (INCARNATION, self.incarnation.get().to_string()),
            (REQUEST, self.request.to_string()),
            (REMAINING_MS, self.remaining_ms.get().to_string()),
        ];
        for (name, value) in values {
            match HeaderValue::try_from(value) {
                Ok(value) => headers.insert(name, value),
                Err(_) => return Err(ForwardHeaderError { name }),
            };
        }
        Ok(())
    }

    /// Takes the order out of the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardHeaderError`] if a header is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, ForwardHeaderError> {
        Ok(Self {
            instance: take_header(headers, INSTANCE)?,
            incarnation: Incarnation(take_header(headers, INCARNATION)?),
            request: take_header(headers, REQUEST)?,
            remaining_ms: Millis(take_header(headers, REMAINING_MS)?),
        })
    }
}
