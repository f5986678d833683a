//! Decisions about groups, leases, zones and standing.
