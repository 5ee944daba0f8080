//! Answers of an engine: tokens, server-sent events, whole texts.

use std::fmt::Write as _;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::stream::{End, Form, Progress, Reader, Stream};
use crate::batch::Usage;
use crate::serve::{Body, json};

/// Pieces of a stream that wait for a slow reader.
const PIECES: usize = 4;

/// The most tokens in a piece.
const PIECE_TOKENS: u64 = 64;

/// Text of token `seq` of a request, by which a reader tells whose it is and that none is missing.
#[must_use]
pub fn token_text(id: &str, seq: u64) -> String {
    let hash = format!("{:016x}", xxh3_64(format!("{id}:{seq}").as_bytes()));
    format!("t{seq}-{} ", &hash[..6])
}

#[derive(Serialize)]
struct Delta {
    content: String,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<Choice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    seq: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

impl Stream {
    fn chunk(&self, seq: u64) -> Chunk<'_> {
        let text = token_text(self.id.as_str(), seq);
        let last = seq + 1 == self.output.max(1);
        let (text, delta) = match self.form {
            Form::Text => (Some(text), None),
            Form::Chat => (None, Some(Delta { content: text })),
        };
        let choice = Choice {
            index: 0,
            text,
            delta,
            message: None,
            finish_reason: last.then_some("length"),
        };
        Chunk {
            choices: vec![choice],
            seq: Some(seq),
            ..self.usage_chunk(None)
        }
    }

    fn usage_chunk(&self, usage: Option<Usage>) -> Chunk<'_> {
        Chunk {
            id: self.id.as_str(),
            object: match self.form {
                Form::Text => "text_completion",
                Form::Chat => "chat.completion.chunk",
            },
            model: &self.model,
            choices: Vec::new(),
            seq: None,
            usage,
        }
    }

    /// The whole answer of a request that is not streamed.
    pub(super) fn whole(&self, usage: Usage) -> Response<Body> {
        let tokens = 0..usage.completion.get();
        let content = tokens
            .map(|seq| token_text(self.id.as_str(), seq))
            .collect::<String>();
        let (object, text, message) = match self.form {
            Form::Text => ("text_completion", Some(content), None),
            Form::Chat => {
                let role = "assistant";
                ("chat.completion", None, Some(Message { role, content }))
            }
        };
        let choice = Choice {
            index: 0,
            text,
            delta: None,
            message,
            finish_reason: Some("length"),
        };
        let chunk = Chunk {
            object,
            choices: vec![choice],
            ..self.usage_chunk(Some(usage))
        };
        json(StatusCode::OK, &chunk)
    }
}

fn push_event(text: &mut String, seq: u64, chunk: &Chunk<'_>) {
    let data = serde_json::to_string(chunk).expect("a chunk has only text keys");
    let id = chunk.id;
    // Writing to a string never fails.
    let _ = write!(text, "id: {id}:{seq}\ndata: {data}\n\n");
}

/// Starts to stream an answer from token `offset` on.
pub(super) fn stream(reader: Reader, offset: u64) -> Response<Body> {
    let (pieces, body) = mpsc::channel(PIECES);
    let tasks = reader.state().tasks.clone();
    tasks.spawn(write(reader, offset, pieces));
    let mut response = Response::new(Body::Stream(body));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

async fn write(reader: Reader, offset: u64, pieces: mpsc::Sender<io::Result<Bytes>>) {
    let cut = reader.state().take_truncation();
    let mut progress = reader.stream.progress.subscribe();
    let mut sent = offset;
    loop {
        let now = *progress.borrow_and_update();
        let until = now.generated.min(sent + PIECE_TOKENS);
        let until = cut.map_or(until, |cut| until.min(offset + cut));
        if sent < until {
            let text = tokens(&reader, sent, until);
            sent = until;
            if pieces.send(Ok(text.into())).await.is_err() {
                return;
            }
            continue;
        }
        if cut.is_some_and(|cut| sent >= offset + cut) {
            return;
        }
        if let Some(last) = last_piece(&reader.stream, now) {
            // A reader that has gone needs no last piece.
            let _ = pieces.send(last).await;
            return;
        }
        tokio::select! {
            changed = progress.changed() => if changed.is_err() { return },
            () = pieces.closed() => return,
        }
    }
}

/// What ends a stream, once all its tokens are sent.
fn last_piece(stream: &Stream, now: Progress) -> Option<io::Result<Bytes>> {
    match now.end? {
        End::Finished(usage) => {
            let mut text = String::new();
            let chunk = stream.usage_chunk(Some(usage));
            push_event(&mut text, usage.completion.get(), &chunk);
            text.push_str("data: [DONE]\n\n");
            Some(Ok(text.into()))
        }
        End::Cancelled => Some(Err(io::Error::other("cancelled"))),
        End::Dropped => Some(Err(io::Error::other("dropped"))),
    }
}

/// The events of some tokens, with the faults of frames.
fn tokens(reader: &Reader, from: u64, until: u64) -> String {
    let mut text = String::new();
    for seq in from..until {
        let faults = reader.state().frame_faults(&reader.stream);
        let stream = faults.instead.as_ref().unwrap_or(&reader.stream);
        push_event(&mut text, seq, &stream.chunk(seq));
        if faults.twice {
            push_event(&mut text, seq, &stream.chunk(seq));
        }
    }
    text
}

/// The faults of one frame.
#[derive(Debug, Default)]
pub(super) struct FrameFaults {
    /// The stream whose frame is sent in its place.
    pub(super) instead: Option<Arc<Stream>>,
    /// Whether it is sent twice.
    pub(super) twice: bool,
}
