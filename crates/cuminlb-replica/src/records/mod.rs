//! What a node keeps of the rows that it has read, apart from the rows themselves.

mod catalog_origin;
mod departed_instances;
mod instance_records;
mod leaving_instances;
mod node_records;
mod zone_records;

pub use self::catalog_origin::CatalogOrigin;
use self::departed_instances::DepartedInstances;
pub use self::instance_records::InstanceRecords;
pub use self::leaving_instances::LeavingInstances;
pub use self::node_records::NodeRecords;
pub use self::zone_records::ZoneRecords;
