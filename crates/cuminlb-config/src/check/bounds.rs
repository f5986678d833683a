//! [`Bounds`].

use std::fmt;

/// The lowest and the highest value that a key accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds<T> {
    /// The lowest value that is accepted.
    pub(crate) min: T,
    /// The highest value that is accepted.
    pub(crate) max: T,
}

impl<T: PartialOrd> Bounds<T> {
    /// Tells whether a value lies within the bounds.
    pub(crate) fn contain(&self, value: &T) -> bool {
        *value >= self.min && *value <= self.max
    }
}

impl<T: fmt::Display> fmt::Display for Bounds<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "from {} to {}", self.min, self.max)
    }
}
