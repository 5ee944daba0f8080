//! Admission of requests under their customers' limits.

use std::sync::{Arc, PoisonError};

use catkinusher_core::admission::{CustomerLimits, RequestSize, ShareStatus};
use catkinusher_core::catalog::Catalog;
use catkinusher_core::id::{CustomerId, ServiceId};
use catkinusher_core::inventory::Service;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::Span;

use super::RequestContext;
use crate::node::State;

/// An admitted request; counts against its customer's limit until it is dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    state: Arc<State>,
    service: ServiceId,
    customer: CustomerId,
    /// Whether it exceeds its customer's fair share.
    pub excess: bool,
}

impl AdmissionGuard {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// [`Refusal::OverLimit`] if the customer already has its limit of requests open.
    pub fn new(
        context: &RequestContext,
        service: &Service,
        size: RequestSize,
    ) -> Result<Self, Refusal> {
        let state = Arc::clone(&context.state);
        let customer = &context.customer;
        let limits = CustomerLimits {
            weight: customer.weight.max(1),
            limit: customer.open_limit,
            nodes: state.members.count(),
        };
        let capacity = capacity(&context.catalog, service);
        let now = state.timers.now();
        let share_status = state
            .admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(service.name.clone())
            .or_default()
            .admit(&customer.name, limits, size, capacity, now);
        let share_status = share_status.map_err(|refusal| Refusal::OverLimit {
            limit: customer.open_limit.unwrap_or(0),
            after: Span::new(refusal.after),
        })?;
        Ok(Self {
            state,
            service: service.name.clone(),
            customer: customer.name.clone(),
            excess: share_status == ShareStatus::Exceeded,
        })
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let mut admissions = self
            .state
            .admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(admission) = admissions.get_mut(&self.service) {
            admission.on_ended(&self.customer);
        }
    }
}

/// The total prefill rate of the service's upstreams that aren't drained, in tokens per second; 0 for a plain service.
fn capacity(catalog: &Catalog, service: &Service) -> f64 {
    let Some(engine) = &service.engine else {
        return 0.0;
    };
    let open = catalog
        .servers_of(service.name.as_str())
        .filter(|server| !server.drained);
    open.count() as f64 * engine.prefill.get()
}
