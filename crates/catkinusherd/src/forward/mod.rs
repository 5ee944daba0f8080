//! One request from its head to its last byte.

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
use catkinusher_core::outcome::Refusal;
use catkinusher_core::retry::{self, Decision, Failure};
use catkinusher_core::units::{Bytes, Tokens};
use tracing::info;

use crate::explain::Step;
use crate::front::intake::BodyError;
use crate::node::{Open, State};
use crate::settings::Limits;

/// A request whose caller is known.
#[derive(Debug)]
pub struct RequestContext {
    /// The node's parts.
    pub state: Arc<State>,
    /// The request's identity.
    pub id: RequestId,
    /// Who sent it.
    pub customer: Customer,
    /// The configuration that it is served by, from its start to its end.
    pub catalog: Arc<Catalog>,
    /// Counts the request as open.
    pub open: Open,
}

impl RequestContext {
    fn estimator(&self) -> MutexGuard<'_, TokenEstimator> {
        self.state
            .estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a step of the request for operators who ask.
    fn record_step(&self, step: Step) {
        self.state.journal.note(&self.id, step);
    }

    /// Waits for a request's next attempt, or gives up with the refusal of the last.
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
                info!(request = %self.id, attempts, "route: tried again after: {refusal}");
                self.record_step(Step::Retried { attempts });
                state.timers.at(at).await;
                Ok(())
            }
            Decision::GiveUp { reason } => {
                info!(request = %self.id, ?reason, "route: not tried again");
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

/// The step that ends a request which was refused or failed.
pub(crate) fn refusal_step(refusal: &Refusal) -> Step {
    Step::Refused {
        reason: refusal.to_string(),
        outcome: refusal.outcome(),
    }
}

/// What a caller is told of a body that can't be read.
fn body_refusal(error: BodyError, limits: &Limits) -> Refusal {
    match error {
        BodyError::TooLarge(_) => Refusal::BodyTooLarge { limit: limits.body },
        BodyError::Idle => Refusal::TooSlow { limit: limits.idle },
        BodyError::LengthMissing(_) | BodyError::Truncated => Refusal::BadBody {
            detail: error.to_string(),
        },
    }
}
