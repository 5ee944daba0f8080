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

use crate::units::{self, Rate, Tokens};

/// The capacity and speed of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// The answers that one engine decodes concurrently.
    pub slots: u32,
    /// The capacity of one engine's KV cache.
    #[serde(rename = "memory")]
    pub kv_capacity: Tokens,
    /// The time of one decode step without answers or context, in milliseconds.
    #[serde(rename = "step")]
    pub step_ms: f64,
    /// The time that each answer adds to a decode step, in milliseconds.
    #[serde(rename = "answer")]
    pub answer_step_ms: f64,
    /// The time that a thousand tokens of context add to a decode step, in milliseconds.
    #[serde(rename = "context")]
    pub context_step_ms: f64,
    /// The prompt tokens prefilled per second, without the cost of attention pairs.
    #[serde(rename = "read")]
    pub prefill_rate: Rate,
    /// The time that a million attention pairs add to prefill, in milliseconds.
    #[serde(rename = "pairs")]
    pub pair_prefill_ms: f64,
    /// The decode steps in one pass while there are active answers.
    #[serde(rename = "stride")]
    pub steps_per_pass: u32,
    /// The mean length of an answer.
    #[serde(rename = "usual")]
    pub mean_answer: Tokens,
    /// Whether several engines may prefill one prompt together.
    #[serde(rename = "joint")]
    pub joint_prefill: bool,
}

impl EngineProfile {
    /// The time that one engine takes to prefill a prompt.
    #[must_use]
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.get() as f64;
        let linear = tokens / self.prefill_rate.get().max(1.0);
        let quadratic = tokens * tokens / 2e6 * self.pair_prefill_ms / 1e3;
        units::seconds(linear + quadratic)
    }

    /// The least time to decode an answer of this length, on an otherwise idle engine.
    #[must_use]
    pub fn decode_time(&self, answer: Tokens) -> Duration {
        units::seconds(self.step_ms * answer.get() as f64 / 1e3)
    }

    /// The time of one pass with `answers` active answers that hold `context` tokens.
    #[must_use]
    pub fn pass_time(&self, answers: u32, context: Tokens) -> Duration {
        let step = self.step_ms
            + self.answer_step_ms * f64::from(answers)
            + self.context_step_ms * context.get() as f64 / 1e3;
        units::seconds(step * f64::from(self.steps_per_pass) / 1e3)
    }
}
