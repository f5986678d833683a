//! The settings of a node, one module for each section of the file.

mod control_settings;
mod fleet_bounds;
mod gateway_settings;
mod limit_settings;
mod listen_settings;
mod load_settings;
mod log_format;
mod log_settings;
mod machine_settings;
mod node_settings;
mod platform_settings;
mod secret;
mod security_settings;

pub use self::control_settings::ControlSettings;
pub use self::fleet_bounds::FleetBounds;
pub use self::gateway_settings::GatewaySettings;
pub use self::limit_settings::LimitSettings;
pub use self::listen_settings::ListenSettings;
pub use self::load_settings::LoadSettings;
pub use self::log_format::LogFormat;
pub use self::log_settings::LogSettings;
pub use self::machine_settings::MachineSettings;
pub use self::node_settings::NodeSettings;
pub use self::platform_settings::PlatformSettings;
pub use self::secret::Secret;
pub use self::security_settings::SecuritySettings;
