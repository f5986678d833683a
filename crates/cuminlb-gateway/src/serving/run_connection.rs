//! Running a caller's connection for as long as its limits allow.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use cuminlb_routing::ConnectionLimits;
use futures_util::future::OptionFuture;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use super::caller_connection::CallerConnection;

/// Runs a connection until it ends; returns `None` if it is to be closed by its limits, or since
/// other connections need the memory of its incomplete head.
///
/// The limits may change at any time. A longer limit holds at once, a shorter one from the next timer
/// on, since a caller may still rely on the longer one.
pub(super) async fn run_connection<C>(
    connection: &mut C,
    state: &CallerConnection,
    limits: impl Fn() -> ConnectionLimits,
) -> Option<hyper::Result<()>>
where
    C: Future<Output = hyper::Result<()>> + Unpin,
{
    loop {
        let current_limits = limits();
        let timer_at = state.activity().expires_at(current_limits);
        let timer = OptionFuture::from(timer_at.map(sleep_until));
        let ended_or_changed = poll_fn(|cx| match Pin::new(&mut *connection).poll(cx) {
            Poll::Ready(ended) => Poll::Ready(Some(ended)),
            Poll::Pending if expires_sooner(state, current_limits, timer_at) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            biased;
            ended = ended_or_changed => match ended {
                Some(ended) => return Some(ended),
                None => continue,
            },
            () = state.evicted() => {
                if state.head().check_evicted() {
                    return None;
                }
                continue;
            }
            Some(()) = timer => {}
        }
        // What has arrived meanwhile is read before the decision, however late this task runs.
        yield_now().await;
        let ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut *connection).poll(cx))).await;
        if let Poll::Ready(ended) = ended {
            return Some(ended);
        }
        let expires_at = state.activity().expires_at(limits());
        if expires_at.is_some_and(|expires_at| expires_at <= Instant::now()) {
            return None;
        }
    }
}

/// Returns whether a connection expires before a timer of it.
fn expires_sooner(
    state: &CallerConnection,
    limits: ConnectionLimits,
    timer_at: Option<Instant>,
) -> bool {
    let expires_at = state.activity().expires_at(limits);
    expires_at.is_some_and(|expires_at| timer_at.is_none_or(|timer_at| expires_at < timer_at))
}
