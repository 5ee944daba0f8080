//! What a prompt costs a model engine, from the rates that operators declare.
//!
//! An engine works in passes: it reads prompts in chunks between the steps of
//! the answers that it writes. Reading a long prompt costs more a token the
//! further it gets, since each token is paired with all before it. Placing
//! needs both figures: how long a prompt occupies an engine, and how long it
//! holds up the streams beside it (see
//! [docs/design/platform.md](../../../../docs/design/platform.md)).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::{Rate, Tokens};

/// How the engines of a service work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// The answers that one engine writes at once.
    pub slots: u32,
    /// The tokens that one engine's memory holds.
    #[serde(rename = "memory")]
    pub kv_capacity: Tokens,
    /// The time of one step without answers or context, in milliseconds.
    #[serde(rename = "step")]
    pub step_ms: f64,
    /// What each answer adds to a step, in milliseconds.
    #[serde(rename = "answer")]
    pub answer_step_ms: f64,
    /// What a thousand tokens of context add to a step, in milliseconds.
    #[serde(rename = "context")]
    pub context_step_ms: f64,
    /// The prompt tokens read a second, pairs not counted.
    #[serde(rename = "read")]
    pub prefill_rate: Rate,
    /// What a million pairs of tokens add to reading, in milliseconds.
    #[serde(rename = "pairs")]
    pub pair_prefill_ms: f64,
    /// The steps of one pass while answers are written.
    #[serde(rename = "stride")]
    pub steps_per_pass: u32,
    /// The mean length of an answer.
    #[serde(rename = "usual")]
    pub mean_answer: Tokens,
    /// Whether prompts may be read by several engines together.
    #[serde(rename = "joint")]
    pub joint_prefill: bool,
}

impl EngineProfile {
    /// How long one engine is busy reading a prompt.
    #[must_use]
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.get() as f64;
        let plain = tokens / self.prefill_rate.get().max(1.0);
        let pairs = tokens * tokens / 2e6 * self.pair_prefill_ms / 1e3;
        Duration::from_secs_f64(plain + pairs)
    }

    /// How long an answer of so many tokens takes at the least, on an engine without others.
    #[must_use]
    pub fn decode_time(&self, answer: Tokens) -> Duration {
        Duration::from_secs_f64(self.step_ms * answer.get() as f64 / 1e3)
    }

    /// How long one pass takes with `answers` under way that hold `context` tokens.
    #[must_use]
    pub fn pass_time(&self, answers: u32, context: Tokens) -> Duration {
        let step = self.step_ms
            + self.answer_step_ms * f64::from(answers)
            + self.context_step_ms * context.get() as f64 / 1e3;
        Duration::from_secs_f64(step * f64::from(self.steps_per_pass) / 1e3)
    }
}
