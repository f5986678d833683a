//! The id of a service, to which requests, instances and groups belong.

use crate::macros::text_id;

text_id! {
    /// Identifies a model service or a plain service.
    ServiceId, "service"
}
