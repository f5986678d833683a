//! What a node keeps of the rows that it has read, apart from the rows themselves.

mod departed_instances;
mod instance_records;

use self::departed_instances::DepartedInstances;
pub use self::instance_records::InstanceRecords;
