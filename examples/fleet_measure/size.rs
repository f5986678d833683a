//! The fleet sizes that the simulation covers.

/// The numbers of instances and groups of one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetSize {
    /// The number of instances.
    pub(crate) workers: u32,
    /// The number of instances in a fabric domain; the last domain may have fewer.
    pub(crate) instances_per_domain: u32,
    /// The number of members in a group.
    pub(crate) members_per_group: u32,
    /// The wanted number of groups.
    pub(crate) replicas: u32,
    /// The number of members whose weights the weight store can deliver in one minute.
    pub(crate) loads_per_min: u32,
}

impl FleetSize {
    /// The current fleet size and several times larger ones.
    pub(crate) const ALL: [Self; 3] = [
        Self {
            workers: 50,
            instances_per_domain: 13,
            members_per_group: 4,
            replicas: 11,
            loads_per_min: 4,
        },
        Self {
            workers: 200,
            instances_per_domain: 18,
            members_per_group: 8,
            replicas: 22,
            loads_per_min: 8,
        },
        Self {
            workers: 730,
            instances_per_domain: 74,
            members_per_group: 32,
            replicas: 20,
            loads_per_min: 32,
        },
    ];
}
