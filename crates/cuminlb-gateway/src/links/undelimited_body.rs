//! The mark of a forwarded response whose body ended with the connection to the instance.

/// Marks a forwarded response whose body ended with the connection to the instance, although it is
/// passed on in chunks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UndelimitedBody;
