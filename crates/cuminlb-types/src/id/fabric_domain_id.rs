//! [`FabricDomainId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one fabric domain: the instances that share a fast interconnect.
    FabricDomainId, "fabric domain"
}
