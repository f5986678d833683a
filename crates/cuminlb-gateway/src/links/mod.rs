//! The links of this node to instances.
//!
//! [`InstanceLink`] is the way of one attempt: a connection of this node or, where only other nodes
//! reach the instance, one to a node that forwards the request ([`forward_request`]). Whether an
//! instance or the own link is at fault is judged by what other nodes reach
//! ([`Gateway::judge_instance`](crate::gateway::Gateway::judge_instance)). All decisions about a request
//! stay at the node that the caller is connected to; the forwarding node only passes it on, once.

mod connect_forwarder;
mod examine_instance;
mod exchange_place;
mod forward_connection;
mod forward_deadline;
mod forward_request;
mod forwarded_body;
mod forwarded_link;
mod instance_link;
mod judge_instance;
mod judgements;
mod next_forwarder;
mod probe_link;
mod reaches_another;
mod report_links;
mod serve_forwarding;
mod undelimited_body;
mod watch_links;

pub(crate) use self::exchange_place::ExchangePlace;
pub(crate) use self::instance_link::InstanceLink;
pub(crate) use self::judgements::Judgements;
pub(crate) use self::serve_forwarding::serve_forwarding;
pub(crate) use self::undelimited_body::UndelimitedBody;
pub(crate) use self::watch_links::watch_links;
