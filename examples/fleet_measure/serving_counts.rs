//! How much of the simulated fleet is serving at one point in time.

/// The counts of serving and possible groups, and of stranded instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServingCounts {
    /// The groups that serve.
    pub(crate) serving_groups: usize,
    /// The groups that the usable instances could form.
    pub(crate) possible_groups: usize,
    /// The usable instances outside any serving group.
    pub(crate) stranded_instances: usize,
}
