//! The range of a numeric or duration value.

use std::fmt;

/// The inclusive range of values that a key accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds<T> {
    /// The minimum.
    pub(crate) min: T,
    /// The maximum.
    pub(crate) max: T,
}

impl<T: PartialOrd> Bounds<T> {
    /// Returns whether a value is within the bounds.
    pub(crate) fn contains(&self, value: &T) -> bool {
        *value >= self.min && *value <= self.max
    }
}

impl<T: fmt::Display> fmt::Display for Bounds<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "from {} to {}", self.min, self.max)
    }
}
