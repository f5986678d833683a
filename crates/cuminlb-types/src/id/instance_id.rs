//! [`InstanceId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one instance of the platform that an engine or a plain service runs on.
    InstanceId, "instance"
}
