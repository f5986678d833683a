//! [`WireFormat`].

use cuminlb_types::prelude::*;
use http::{request, response};

use crate::{
    AnswerHead, Catalog, Forwarding, InstanceEntry, MalformedRequest, MalformedRow, RequestHead,
    SharedRow,
};

/// What a row of the desired state says.
#[derive(Clone, Debug)]
pub enum DesiredRow {
    /// The catalog.
    Catalog(Box<Catalog>),
    /// Nothing more may be sent to the instances of a zone.
    ZoneOut(ZoneId),
    /// Something that this node does not know.
    Unknown,
}

/// Reads and writes the names of a platform.
pub trait WireFormat: Send + Sync + 'static {
    /// Reads what the headers of a caller's request say.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedRequest`] naming the header that is missing or can't be read.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, MalformedRequest>;

    /// Turns the head of a caller's request into that of the request to an instance.
    fn forward(&self, head: &request::Parts, forwarding: &Forwarding) -> request::Parts;

    /// Reads what the headers of an instance's answer say.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Keeps of an answer's headers those that are for the caller.
    fn answer_headers(&self, head: &response::Parts) -> http::HeaderMap;

    /// Returns the headers of an answer of the node's own.
    fn own_headers(
        &self,
        request: Option<&RequestId>,
        retry_after: Option<Millis>,
    ) -> http::HeaderMap;

    /// Reads a row of the desired state.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the row.
    fn read_desired(&self, row: &SharedRow) -> Result<DesiredRow, MalformedRow>;

    /// Reads what an instance says of itself.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the row.
    fn read_instance(&self, row: &SharedRow) -> Result<InstanceEntry, MalformedRow>;
}
