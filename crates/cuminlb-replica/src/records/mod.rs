//! What a node keeps of the rows that it has read, apart from the rows themselves.

mod instance_records;

pub use self::instance_records::InstanceRecords;
