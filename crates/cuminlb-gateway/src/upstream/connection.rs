//! [`Connection`].

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use smol_str::ToSmolStr;

use super::SendFailure;

/// One connection to an instance, with nothing under way.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Sends a request and returns the head of the answer.
    ///
    /// Dropping the answer before its end closes the connection, by which the instance learns that
    /// nobody waits any longer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            let reason = error.error().to_smolstr();
            match error.take_message() {
                Some(_unsent) => SendFailure::NotSent { reason },
                None => SendFailure::NoResponse { reason },
            }
        })
    }
}
