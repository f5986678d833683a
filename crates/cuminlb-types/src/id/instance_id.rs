//! The id by which nodes and rows refer to an instance.

use crate::macros::text_id;

text_id! {
    /// Identifies an instance of the platform that runs an engine or a plain service.
    InstanceId, "instance"
}
