//! A TCP link that can be cut, silenced or delayed while it runs.

mod link_fault;
mod lossy_link;

pub use self::link_fault::LinkFault;
pub use self::lossy_link::LossyLink;
