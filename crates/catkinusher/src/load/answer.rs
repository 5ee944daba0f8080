//! A streamed answer, held against what its request should get.

use serde::Deserialize;
use thiserror::Error;

use catkinusher_core::units::Tokens;
use catkinusher_fakes::engine::token_text;

/// The data of the event that ends a whole answer.
const DONE: &str = "[DONE]";

/// What is wrong with an answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    /// An event is not of the protocol.
    #[error("an event that cannot be read: {0}")]
    Unreadable(String),
    /// An event answers another request.
    #[error("an event of request {0}")]
    Crossed(String),
    /// A token is missing or comes twice.
    #[error("token {found} in place of {expected}")]
    Order {
        /// The token that should have come.
        expected: u64,
        /// The token that came.
        found: u64,
    },
    /// A token has another's text.
    #[error("token {0} with a text that is not its own")]
    Text(u64),
    /// The answer ended before its last token, or after it.
    #[error("{found} tokens in place of {expected}")]
    Length {
        /// How many tokens there should be.
        expected: Tokens,
        /// How many there are.
        found: Tokens,
    },
    /// Something came after the end.
    #[error("an event after the end")]
    Extra,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
    #[serde(default)]
    seq: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// What an event brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Another token.
    Token,
    /// What was counted.
    Usage,
    /// The end.
    Done,
}

/// An answer as far as it has come.
#[derive(Debug)]
pub(super) struct Reading {
    id: String,
    expected: Tokens,
    next: u64,
    done: bool,
}

impl Reading {
    /// The answer to request `id`, which should have so many tokens.
    pub(super) const fn new(id: String, expected: Tokens) -> Self {
        Self {
            id,
            expected,
            next: 0,
            done: false,
        }
    }

    /// Whether it is whole.
    pub(super) const fn is_done(&self) -> bool {
        self.done
    }

    /// Takes the data of the next event.
    pub(super) fn take(&mut self, data: &str) -> Result<Step, Fault> {
        if self.done {
            return Err(Fault::Extra);
        }
        if data == DONE {
            return self.finish();
        }
        let chunk: Chunk =
            serde_json::from_str(data).map_err(|fault| Fault::Unreadable(fault.to_string()))?;
        if chunk.id != self.id {
            return Err(Fault::Crossed(chunk.id));
        }
        let (Some(seq), Some(choice)) = (chunk.seq, chunk.choices.first()) else {
            return Ok(Step::Usage);
        };
        self.token(seq, &choice.text)
    }

    fn token(&mut self, seq: u64, text: &str) -> Result<Step, Fault> {
        if seq != self.next {
            return Err(Fault::Order {
                expected: self.next,
                found: seq,
            });
        }
        if text != token_text(&self.id, seq) {
            return Err(Fault::Text(seq));
        }
        self.next += 1;
        Ok(Step::Token)
    }

    fn finish(&mut self) -> Result<Step, Fault> {
        let found = Tokens::new(self.next);
        if found != self.expected {
            return Err(Fault::Length {
                expected: self.expected,
                found,
            });
        }
        self.done = true;
        Ok(Step::Done)
    }
}
