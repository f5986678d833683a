//! A TCP proxy whose connections can be cut, silenced or delayed at run time.

mod link_fault;
mod lossy_link;

pub use self::link_fault::LinkFault;
pub use self::lossy_link::LossyLink;
