//! The id of a fabric domain, within which the members of a group are chosen.

use crate::macros::text_id;

text_id! {
    /// Identifies a fabric domain: the instances that share a fast interconnect.
    FabricDomainId, "fabric domain"
}
