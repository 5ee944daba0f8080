//! A claim's ticket, settled on every way out.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::claim::{Settlement, Ticket};

use crate::claims;
use crate::node::State;

/// How long the end of an answer waits until the key's owner knows of it.
const SETTLE_WAIT: Duration = Duration::from_millis(300);

/// A ticket that is settled on every way out.
pub(super) struct TicketGuard {
    pub(super) state: Arc<State>,
    pub(super) ticket: Ticket,
}

impl TicketGuard {
    pub(super) fn settle(&self, settlement: Option<Settlement>) {
        let Some(settlement) = settlement else {
            return;
        };
        let state = Arc::clone(&self.state);
        tokio::spawn(async move { claims::settle(&state, settlement).await });
    }
}

impl TicketGuard {
    /// Settles, and waits a little until the key's owner knows.
    pub(super) async fn settle_and_wait(&self, settlement: Option<Settlement>) {
        let Some(settlement) = settlement else {
            return;
        };
        let state = Arc::clone(&self.state);
        let task = tokio::spawn(async move { claims::settle(&state, settlement).await });
        tokio::select! {
            _settled = task => {}
            () = self.state.timers.after(SETTLE_WAIT) => {}
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let settlement = self.ticket.give_up();
        self.settle(settlement);
    }
}
