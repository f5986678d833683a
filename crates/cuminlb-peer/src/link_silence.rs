//! How long a connection between nodes may be silent.

use std::time::Duration;

/// The time after which a connection that was not used carries no more calls, since its other end may
/// have vanished without closing it.
pub(crate) const MAX_UNUSED: Duration = Duration::from_secs(30);

/// The time after which a server closes a connection on which nothing is sent or received. It is
/// longer than [`MAX_UNUSED`], so that no call crosses the close.
pub(crate) const MAX_SILENCE: Duration = Duration::from_secs(60);
