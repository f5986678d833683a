//! The base of the epochs that a leader issues.

use cuminlb_types::prelude::*;

/// Base-2 logarithm of the number of epochs that one version of the lease's row may issue.
const EPOCH_BITS: u32 = 16;

/// Base-2 logarithm of the number of row versions that may be given out again in a later era.
const VERSION_BITS: u32 = 24;

/// Returns the epoch above which the leader issues epochs that holds the lease at a version.
///
/// A later version of the same era has a higher base, and so has any version of a later era, unless
/// the row versions went back by 2^24 or more. At most 2^16 epochs may be issued above a base.
pub const fn base_epoch(version: StoreVersion) -> Epoch {
    let rows = version.row.get().saturating_mul(1 << EPOCH_BITS);
    let eras = version
        .era
        .get()
        .saturating_mul(1 << (EPOCH_BITS + VERSION_BITS));
    Epoch(eras.saturating_add(rows))
}
