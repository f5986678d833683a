//! An open attempt of a request whose response is not a stream.

use std::sync::{Arc, OnceLock};

use cuminlb_catalog::ResponseHead;
use cuminlb_routing::BudgetUse;
use cuminlb_types::prelude::*;
use futures_util::future::BoxFuture;
use http::Response;
use tokio::time::Instant;

use super::attempt_failure::AttemptFailure;
use super::response_body::ResponseBody;
use super::target::Target;
use crate::links::ExchangePlace;

/// The result of one attempt.
pub(super) type PlainOutcome = Result<(ResponseHead, Response<ResponseBody>), AttemptFailure>;

/// An open attempt of a request whose response is not a stream.
pub(super) struct PlainAttempt<'a> {
    pub(super) number: AttemptNumber,
    pub(super) target: Target,
    /// How much of the retry budget was used before it; nothing if it is no retry.
    pub(super) budget: Option<BudgetUse>,
    /// Where it was sent, once it has a connection.
    pub(super) place: Arc<OnceLock<ExchangePlace>>,
    /// When its instance counts as silent; never if no other attempt may follow.
    pub(super) silent_at: Option<Instant>,
    pub(super) is_silent: bool,
    /// When the link to its instance is checked, unless that was done.
    pub(super) check_at: Option<Instant>,
    pub(super) exchange: BoxFuture<'a, PlainOutcome>,
}
