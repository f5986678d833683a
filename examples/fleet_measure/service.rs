//! [`Service`].

/// What serves at a point of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    /// The groups that serve.
    pub(crate) serving: usize,
    /// The groups that the usable instances could form.
    pub(crate) capacity: usize,
    /// The usable instances outside any serving group.
    pub(crate) outside: usize,
}
