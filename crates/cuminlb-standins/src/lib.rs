//! Stand-ins for the platform, the model engines and the plain services, for development only.
