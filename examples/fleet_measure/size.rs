//! [`FleetSize`].

/// The size of one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetSize {
    /// The instances.
    pub(crate) workers: u32,
    /// The instances of one fabric domain; the last domain may have fewer.
    pub(crate) domain: u32,
    /// The members of one group.
    pub(crate) members: u32,
    /// The groups that should serve.
    pub(crate) replicas: u32,
    /// The members that the weight store can load in one minute.
    pub(crate) loads_per_min: u32,
}

impl FleetSize {
    /// The sizes of today and several times more.
    pub(crate) const ALL: [Self; 3] = [
        Self {
            workers: 50,
            domain: 13,
            members: 4,
            replicas: 11,
            loads_per_min: 4,
        },
        Self {
            workers: 200,
            domain: 18,
            members: 8,
            replicas: 22,
            loads_per_min: 8,
        },
        Self {
            workers: 730,
            domain: 74,
            members: 32,
            replicas: 20,
            loads_per_min: 32,
        },
    ];
}
