//! The response to a caller, before and after its head is sent.

use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::id::RequestId;
use catkinusher_core::outcome::Refusal;
use http::Response;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::front::answer;
use crate::front::reply::{ChunkSender, ResponseBody, Truncated};

/// No chunk can be sent: the caller disconnected or read nothing within the idle timeout, or
/// the response has no head yet or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

#[derive(Debug)]
enum Stage {
    Head(oneshot::Sender<Response<ResponseBody>>),
    Body(ChunkSender),
    Ended,
}

/// Sends the response to one caller.
#[derive(Debug)]
pub struct ResponseSink {
    request: RequestId,
    idle: Duration,
    stage: Stage,
}

impl ResponseSink {
    /// Creates a sink on which nothing has been sent, and the receiver of its response.
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

    /// Whether the response head has been sent, after which the status can't change.
    #[must_use]
    pub const fn is_head_sent(&self) -> bool {
        !matches!(self.stage, Stage::Head(_))
    }

    /// Whether the response is complete or failed, or the caller is gone.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Sends a complete response.
    pub fn send_full(&mut self, mut response: Response<ResponseBody>) {
        answer::set_request_id(&mut response, Some(&self.request));
        if let Stage::Head(sender) = std::mem::replace(&mut self.stage, Stage::Ended) {
            // The receiver is dropped if the caller has disconnected.
            let _caller_gone = sender.send(response);
        }
    }

    /// Sends the head of a streamed response.
    pub fn send_head(&mut self, response: Response<()>) {
        let (chunks, body) = ResponseBody::stream();
        let mut response = response.map(|()| body);
        answer::set_request_id(&mut response, Some(&self.request));
        if let Stage::Head(sender) = std::mem::replace(&mut self.stage, Stage::Body(chunks)) {
            let _caller_gone = sender.send(response);
        }
    }

    /// Sends a chunk, waiting at most the idle timeout for space in the chunk buffer.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] if the caller has disconnected or reads nothing, or if no head was sent or
    /// the response has ended.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        let Stage::Body(chunks) = &self.stage else {
            return Err(CallerGone);
        };
        match timeout(self.idle, chunks.send(Ok(bytes))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    /// Ends the response as complete.
    pub fn finish(&mut self) {
        self.stage = Stage::Ended;
    }

    /// Ends the response with a failure.
    ///
    /// Before the head, the response is a problem document. After the head, the connection
    /// is aborted; with `events`, an error event with the problem document is sent before that.
    pub async fn fail(&mut self, refusal: &Refusal, events: bool) {
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Head(sender) => {
                let _caller_gone = sender.send(answer::problem(refusal, Some(&self.request)));
            }
            Stage::Body(chunks) => {
                if events {
                    let problem = refusal.problem(Some(&self.request));
                    let data = serde_json::to_string(&problem)
                        .expect("a problem document serializes to JSON");
                    let event = format!("event: error\ndata: {data}\n\n");
                    let _slow = timeout(self.idle, chunks.send(Ok(event.into()))).await;
                }
                let _slow = timeout(self.idle, chunks.send(Err(Truncated))).await;
            }
            Stage::Ended => {}
        }
    }

    /// Waits until the caller disconnects.
    pub async fn caller_gone(&mut self) {
        match &mut self.stage {
            Stage::Head(sender) => sender.closed().await,
            Stage::Body(chunks) => chunks.closed().await,
            Stage::Ended => std::future::pending().await,
        }
    }
}
