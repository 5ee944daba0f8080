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
pub struct CallerGone;

#[derive(Debug)]
enum Stage {
    Head(oneshot::Sender<Response<ResponseBody>>),
    Body(ChunkSender),
    Ended,
}

/// The way back to one caller.
#[derive(Debug)]
pub struct ResponseSink {
    request: RequestId,
    idle: Duration,
    stage: Stage,
}

impl ResponseSink {
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
    pub const fn is_head_sent(&self) -> bool {
        !matches!(self.stage, Stage::Head(_))
    }

    /// Whether a whole answer went out, or the caller is gone.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Sends a whole answer.
    pub fn send_full(&mut self, mut response: Response<ResponseBody>) {
        answer::set_request_id(&mut response, Some(&self.request));
        if let Stage::Head(sender) = std::mem::replace(&mut self.stage, Stage::Ended) {
            // A caller that is gone needs no answer.
            let _caller_gone = sender.send(response);
        }
    }

    /// Sends the head of an answer whose pieces follow.
    pub fn send_head(&mut self, response: Response<()>) {
        let (chunks, reply) = ResponseBody::stream();
        let mut response = response.map(|()| reply);
        answer::set_request_id(&mut response, Some(&self.request));
        if let Stage::Head(sender) = std::mem::replace(&mut self.stage, Stage::Body(chunks)) {
            let _caller_gone = sender.send(response);
        }
    }

    /// Sends a piece, and waits no longer than the idle limit for the caller to take others.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] if the caller has left or takes nothing.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        let Stage::Body(chunks) = &self.stage else {
            return Err(CallerGone);
        };
        match timeout(self.idle, chunks.send(Ok(bytes))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    /// Ends a whole answer.
    pub fn finish(&mut self) {
        self.stage = Stage::Ended;
    }

    /// Ends with a failure: a problem document, or after the head an event that says the same and a cut.
    pub async fn fail(&mut self, refusal: &Refusal, events: bool) {
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Head(sender) => {
                let _caller_gone = sender.send(answer::problem(refusal, Some(&self.request)));
            }
            Stage::Body(chunks) => {
                if events {
                    let problem = refusal.problem(Some(&self.request));
                    let data = serde_json::to_string(&problem).expect("a problem has a JSON form");
                    let event = format!("event: error\ndata: {data}\n\n");
                    let _slow = timeout(self.idle, chunks.send(Ok(event.into()))).await;
                }
                let _slow = timeout(self.idle, chunks.send(Err(Truncated))).await;
            }
            Stage::Ended => {}
        }
    }

    /// Waits until the caller is gone.
    pub async fn caller_gone(&mut self) {
        match &mut self.stage {
            Stage::Head(sender) => sender.closed().await,
            Stage::Body(chunks) => chunks.closed().await,
            Stage::Ended => std::future::pending().await,
        }
    }
}
