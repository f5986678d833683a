//! An HTTP connection to an instance.

use std::net::SocketAddr;

use bytes::Bytes;
use cuminlb_routing::{CarriedRequests, ResponseOwner};
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use smol_str::ToSmolStr;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use super::{ConnectionDeadline, SendFailure};

/// A connection to an instance without a request in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) number: ConnectionNumber,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes, and the tracker that it belongs to.
    pub(super) driver: AbortHandle,
    pub(super) tasks: TaskTracker,
    /// The requests that were sent on it.
    pub(super) carried: CarriedRequests,
}

impl Connection {
    /// Closes the connection after a deadline, whatever is received by then, unless the result is
    /// dropped before.
    pub(crate) fn close_after(
        &self,
        deadline: impl Future<Output = ()> + Send + 'static,
    ) -> ConnectionDeadline {
        let driver = self.driver.clone();
        let timer = self.tasks.spawn(async move {
            deadline.await;
            driver.abort();
        });
        ConnectionDeadline::new(timer.abort_handle())
    }

    /// Returns the number of the connection among those of its pool.
    pub(crate) const fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Returns the number of requests that were sent on the connection.
    pub(crate) const fn requests(&self) -> usize {
        self.carried.count()
    }

    /// Returns to which request a response belongs that follows `request` and names the id `named`.
    pub(crate) fn owner(&self, named: Option<&RequestId>, request: &RequestId) -> ResponseOwner {
        self.carried.owner(named, request)
    }

    /// Sends the request with an id and returns the head of the response.
    ///
    /// Dropping the response before its end closes the connection, which tells the instance that
    /// nobody waits for the rest.
    pub(crate) async fn send(
        &mut self,
        id: &RequestId,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.carried.record(id);
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
