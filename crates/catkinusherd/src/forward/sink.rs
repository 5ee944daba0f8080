//! The way back to a caller, before and after the answer's head is out.

use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::id::RequestId;
use catkinusher_core::outcome::Refusal;
use http::Response;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::front::answer;
use crate::front::reply::{ChunkSender, ResponseBody, Truncated};

/// The caller is gone, or takes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone;

#[derive(Debug)]
enum Stage {
    Head(oneshot::Sender<Response<ResponseBody>>),
    Body(ChunkSender),
    Over,
}

/// The way back to one caller.
#[derive(Debug)]
pub struct Sink {
    request: RequestId,
    idle: Duration,
    stage: Stage,
}

impl Sink {
    /// A way back on which nothing has been sent, and where the answer comes out.
    #[must_use]
    pub fn new(
        request: RequestId,
        idle: Duration,
    ) -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (sender, receiver) = oneshot::channel();
        let sink = Self {
            request,
            idle,
            stage: Stage::Head(sender),
        };
        (sink, receiver)
    }

    /// Whether the answer's head is out, after which nothing can be taken back.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !matches!(self.stage, Stage::Head(_))
    }

    /// Whether a whole answer went out, or the caller is gone.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    /// Sends a whole answer.
    pub fn whole(&mut self, mut response: Response<ResponseBody>) {
        answer::set_request_id(&mut response, Some(&self.request));
        if let Stage::Head(sender) = std::mem::replace(&mut self.stage, Stage::Over) {
            // A caller that is gone needs no answer.
            let _gone = sender.send(response);
        }
    }

    /// Sends the head of an answer whose pieces follow.
    pub fn head(&mut self, response: Response<()>) {
        let (pieces, reply) = ResponseBody::stream();
        let mut response = response.map(|()| reply);
        answer::set_request_id(&mut response, Some(&self.request));
        if let Stage::Head(sender) = std::mem::replace(&mut self.stage, Stage::Body(pieces)) {
            let _gone = sender.send(response);
        }
    }

    /// Sends a piece, and waits no longer than the idle limit for the caller to take others.
    ///
    /// # Errors
    ///
    /// [`Gone`] if the caller has left or takes nothing.
    pub async fn piece(&mut self, bytes: Bytes) -> Result<(), Gone> {
        let Stage::Body(pieces) = &self.stage else {
            return Err(Gone);
        };
        match timeout(self.idle, pieces.send(Ok(bytes))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone),
        }
    }

    /// Ends a whole answer.
    pub fn finish(&mut self) {
        self.stage = Stage::Over;
    }

    /// Ends with a failure: a problem document, or after the head an event that says the same and a cut.
    pub async fn fail(&mut self, refusal: &Refusal, events: bool) {
        match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Head(sender) => {
                let _gone = sender.send(answer::problem(refusal, Some(&self.request)));
            }
            Stage::Body(pieces) => {
                if events {
                    let problem = refusal.problem(Some(&self.request));
                    let data = serde_json::to_string(&problem).expect("a problem has a JSON form");
                    let event = format!("event: error\ndata: {data}\n\n");
                    let _slow = timeout(self.idle, pieces.send(Ok(event.into()))).await;
                }
                let _slow = timeout(self.idle, pieces.send(Err(Truncated))).await;
            }
            Stage::Over => {}
        }
    }

    /// Waits until the caller is gone.
    pub async fn gone(&mut self) {
        match &mut self.stage {
            Stage::Head(sender) => sender.closed().await,
            Stage::Body(pieces) => pieces.closed().await,
            Stage::Over => std::future::pending().await,
        }
    }
}
