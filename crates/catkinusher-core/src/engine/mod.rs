//! The cost model of a model engine, from figures that operators declare.
//!
//! An engine works in passes: it prefills prompts in chunks between the decode
//! steps of its answers. The prefill cost per token grows with the position in
//! the prompt, since each token attends to all tokens before it. Placement needs
//! to know both how long a prompt occupies an engine and how long it stalls the
//! other streams there (see
//! [docs/design/platform.md](../../../../docs/design/platform.md)).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::{Rate, Tokens};

/// The capacity and speed of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// The answers that one engine decodes concurrently.
    pub slots: u32,
    /// The capacity of one engine's KV cache.
    pub memory: Tokens,
    /// The time of one decode step without answers or context, in milliseconds.
    pub step: f64,
    /// The time that each answer adds to a decode step, in milliseconds.
    pub answer: f64,
    /// The time that a thousand tokens of context add to a decode step, in milliseconds.
    pub context: f64,
    /// The prompt tokens prefilled per second, without the cost of attention pairs.
    pub read: Rate,
    /// The time that a million attention pairs add to prefill, in milliseconds.
    pub pairs: f64,
    /// The decode steps in one pass while there are active answers.
    pub stride: u32,
    /// The mean length of an answer.
    pub usual: Tokens,
    /// Whether several engines may prefill one prompt together.
    pub joint: bool,
}

impl Rates {
    /// The time that one engine takes to prefill a prompt.
    #[must_use]
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.get() as f64;
        let linear = tokens / self.read.get().max(1.0);
        let quadratic = tokens * tokens / 2e6 * self.pairs / 1e3;
        Duration::from_secs_f64(linear + quadratic)
    }

    /// The least time to decode an answer of this length, on an otherwise idle engine.
    #[must_use]
    pub fn decode_time(&self, answer: Tokens) -> Duration {
        Duration::from_secs_f64(self.step * answer.get() as f64 / 1e3)
    }

    /// The time of one pass with `answers` active answers that hold `context` tokens.
    #[must_use]
    pub fn pass_time(&self, answers: u32, context: Tokens) -> Duration {
        let step = self.step
            + self.answer * f64::from(answers)
            + self.context * context.get() as f64 / 1e3;
        Duration::from_secs_f64(step * f64::from(self.stride) / 1e3)
    }
}
