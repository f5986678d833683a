//! The status of a response that answers a request.

use std::fmt;

use crate::InvalidStatus;

/// The status code of an instance's response, from 200 to 599. A response with any other, an interim one
/// included, answers no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseStatus(u16);

impl ResponseStatus {
    /// Returns the status code.
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns whether the instance failed to answer the request.
    pub const fn is_server_error(self) -> bool {
        self.0 >= 500
    }
}

impl TryFrom<u16> for ResponseStatus {
    type Error = InvalidStatus;

    fn try_from(status: u16) -> Result<Self, InvalidStatus> {
        if matches!(status, 200..=599) {
            Ok(Self(status))
        } else {
            Err(InvalidStatus(status))
        }
    }
}

impl fmt::Display for ResponseStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
