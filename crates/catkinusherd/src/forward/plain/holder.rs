//! A guard that settles the ticket of an idempotency claim.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::claim::{Settlement, Ticket};

use crate::claims;
use crate::node::State;

/// The longest delay of a response's last chunk while the key's owner receives the settlement.
///
/// The last chunk waits so that a caller with the complete response can repeat its key and get
/// the stored one.
const SETTLE_WAIT: Duration = Duration::from_millis(300);

/// Holds a ticket, and settles it as given up on drop if it is still open.
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
    /// Settles, and waits up to [`SETTLE_WAIT`] until the key's owner has the settlement.
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
