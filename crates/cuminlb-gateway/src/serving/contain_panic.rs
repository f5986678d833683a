//! A response to a request whose handling panicked.

use std::panic::AssertUnwindSafe;

use cuminlb_routing::{Refusal, RefusalKind};
use futures_util::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use log::error;

use super::caller_connection::CallerConnection;
use super::refusal_response::refusal_response;
use super::response_body::ResponseBody;
use crate::gateway::Gateway;

/// Returns the response of a handler, or one that says that the outcome is unknown if it panics.
///
/// How much of the body of the request was read is unknown too, so the connection ends.
pub(super) async fn contain_panic(
    gateway: &Gateway,
    connection: &CallerConnection,
    handling: impl Future<Output = Response<ResponseBody>>,
) -> Response<ResponseBody> {
    match AssertUnwindSafe(handling).catch_unwind().await {
        Ok(response) => response,
        Err(_panic) => {
            error!("the handling of a request panicked");
            connection.leave_body_unread();
            let reason = "the node failed".into();
            let refusal = Refusal::unknown(RefusalKind::UpstreamFailed { reason });
            gateway.count_request("", refusal.kind.code());
            let mut response = refusal_response(gateway.edges.wire.as_ref(), &refusal, None);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            response
        }
    }
}
