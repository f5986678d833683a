//! The boundary to the header names and row formats of a platform.

use cuminlb_types::prelude::*;
use http::{request, response};

use crate::{
    Catalog, Forwarding, InstanceEntry, InvalidStatus, MalformedRequest, MalformedRow, RequestHead,
    ResponseHead, SharedRow,
};

/// A parsed row of the desired state.
#[derive(Clone, Debug)]
pub enum DesiredRow {
    /// The catalog.
    Catalog(Box<Catalog>),
    /// The instances of a zone must receive no requests.
    ZoneOut(ZoneId),
    /// A row of a kind that this node does not know.
    Unknown,
}

/// Parses and writes the headers and rows of a platform.
pub trait WireFormat: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedRequest`] with the header that is missing or invalid.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, MalformedRequest>;

    /// Converts the head of a caller's request into the head of the request to an instance.
    fn forward(&self, head: &request::Parts, forwarding: &Forwarding) -> request::Parts;

    /// Parses the headers of an instance's response.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidStatus`] if the response answers no request.
    fn read_response(&self, head: &response::Parts) -> Result<ResponseHead, InvalidStatus>;

    /// Returns the headers of a response that are passed on to the caller.
    fn response_headers(&self, head: &response::Parts) -> http::HeaderMap;

    /// Returns the headers of a response that the node itself produces.
    fn node_response_headers(
        &self,
        request: Option<&RequestId>,
        retry_after: Option<Millis>,
    ) -> http::HeaderMap;

    /// Parses a row of the desired state.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedRow`] if the row cannot be parsed.
    fn read_desired(&self, row: &SharedRow) -> Result<DesiredRow, MalformedRow>;

    /// Parses the row of an instance.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedRow`] if the row cannot be parsed.
    fn read_instance(&self, row: &SharedRow) -> Result<InstanceEntry, MalformedRow>;
}
