//! The fleet file: the complete desired state, which all nodes share.

mod api_key_digest;
mod call_pattern;
mod fencing_support;
mod fleet_spec;
mod measure_weights;
mod model_spec;
mod plain_spec;
mod service_kind;
mod service_spec;
mod team_spec;
mod zone_edit;
mod zone_edit_error;
mod zone_spec;
mod zone_state;

pub use self::api_key_digest::ApiKeyDigest;
pub use self::call_pattern::CallPattern;
pub use self::fencing_support::FencingSupport;
pub use self::fleet_spec::FleetSpec;
pub use self::measure_weights::MeasureWeights;
pub use self::model_spec::ModelSpec;
pub use self::plain_spec::PlainSpec;
pub use self::service_kind::ServiceKind;
pub use self::service_spec::ServiceSpec;
pub use self::team_spec::TeamSpec;
pub use self::zone_edit::set_zone_state;
pub use self::zone_edit_error::ZoneEditError;
pub use self::zone_spec::ZoneSpec;
pub use self::zone_state::ZoneState;
