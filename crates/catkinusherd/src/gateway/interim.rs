//! A bound on the interim responses to one request.
//!
//! The HTTP library skips interim responses, however many there are, so a faulty upstream could keep
//! a node busy with them until the deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::Request;
use tokio_util::sync::CancellationToken;

/// The interim responses that an upstream may send before its answer; most send none.
const MAX_INTERIM: u32 = 32;

/// Tells when an upstream has sent too many interim responses to a request.
#[derive(Debug)]
pub(super) struct InterimLimit {
    exceeded: CancellationToken,
}

impl InterimLimit {
    /// Counts the interim responses to a request.
    pub(super) fn watch<B>(request: &mut Request<B>) -> Self {
        let exceeded = CancellationToken::new();
        let (count, token) = (Arc::new(AtomicU32::new(0)), exceeded.clone());
        hyper::ext::on_informational(request, move |_response| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
                token.cancel();
            }
        });
        Self { exceeded }
    }

    /// Waits until there are too many.
    pub(super) async fn exceeded(&self) {
        self.exceeded.cancelled().await;
    }
}
