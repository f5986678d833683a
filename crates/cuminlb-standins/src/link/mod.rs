//! A TCP proxy whose connections can be cut, silenced or delayed at run time.

mod fault_proxy;
mod link_fault;

pub use self::fault_proxy::FaultProxy;
pub use self::link_fault::LinkFault;
