//! Forwarding of requests to upstreams, with admission, retries and streaming.

mod admit;
mod attempt;
mod group;
pub mod model;
pub mod plain;
mod sink;

use std::sync::{Arc, MutexGuard, PoisonError};

use catkinusher_core::catalog::Catalog;
use catkinusher_core::cost::TokenEstimator;
use catkinusher_core::id::{ModelId, RequestId, ServiceId};
use catkinusher_core::inventory::Customer;
use catkinusher_core::outcome::{Outcome, Refusal};
use catkinusher_core::retry::{self, Decision, Failure};
use catkinusher_core::units::{Bytes, Tokens};
use hyper::body::Incoming;
use tracing::info;

use crate::explain::Step;
use crate::front::intake::{BodyError, RequestBody};
use crate::node::{OpenRequest, State};
use crate::settings::Limits;

/// An authenticated request and what is needed to serve it.
#[derive(Debug)]
pub struct RequestContext {
    /// The node's shared state.
    pub state: Arc<State>,
    /// The request ID.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: Customer,
    /// The configuration snapshot that it is served by from start to end.
    pub catalog: Arc<Catalog>,
    /// Counts the request as open.
    pub open: OpenRequest,
}

impl RequestContext {
    fn estimator(&self) -> MutexGuard<'_, TokenEstimator> {
        self.state
            .estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a step of the request in the journal, for the admin interface.
    fn record_step(&self, step: Step) {
        self.state.journal.record(&self.id, step);
    }

    /// Buffers what is needed of the body, unless the node reaches its stop limit before that.
    async fn read_body(&self, body: Incoming) -> Result<RequestBody, Refusal> {
        let state = &self.state;
        let limits = &state.settings.limits;
        tokio::select! {
            biased;
            () = state.abort_requests.cancelled() => Err(Refusal::StopLimit { outcome: Outcome::NotRun }),
            read = RequestBody::read(body, limits, &state.retained_bodies) => {
                read.map_err(|error| body_refusal(error, limits))
            }
        }
    }

    /// Waits until the next attempt, or returns the last attempt's refusal if there is none.
    async fn wait_for_retry(
        &self,
        service: &ServiceId,
        failure: &Failure,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let state = &self.state;
        let now = state.timers.now();
        let decision = state.with_retries(service, |policy, budget| {
            retry::decide(policy, budget, failure, now, &mut rand::rng())
        });
        match decision {
            Decision::Retry { at, .. } => {
                let attempts = failure.attempts;
                info!(request = %self.id, attempts, "route: retrying after: {refusal}");
                self.record_step(Step::Retried { attempts });
                state.timers.at(at).await;
                Ok(())
            }
            Decision::GiveUp { reason } => {
                info!(request = %self.id, ?reason, "route: not retried");
                self.record_step(Step::Abandoned {
                    reason: format!("{reason:?}"),
                });
                Err(refusal)
            }
        }
    }

    fn estimate(&self, model: &ModelId, bytes: u64) -> Tokens {
        self.estimator().tokens(model, Bytes::new(bytes))
    }
}

/// The journal entry of a request that was refused or failed.
pub(crate) fn refusal_step(refusal: &Refusal) -> Step {
    Step::Refused {
        reason: refusal.to_string(),
        outcome: refusal.outcome(),
    }
}

/// Converts an error in reading the body to a refusal.
fn body_refusal(error: BodyError, limits: &Limits) -> Refusal {
    match error {
        BodyError::TooLarge(_) => Refusal::BodyTooLarge { limit: limits.body },
        BodyError::Idle => Refusal::TooSlow { limit: limits.idle },
        BodyError::LengthMissing(_) | BodyError::Truncated => Refusal::BadBody {
            detail: error.to_string(),
        },
    }
}
