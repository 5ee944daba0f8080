//! What goes into a batching engine and what comes out.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::{Incarnation, RequestId};
use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Tokens of prompt in one block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 512;

/// How much of a step for one stream alone each further stream adds.
const STREAM_SHARE: f64 = 1.0 / 64.0;

/// The share of its speed that an engine has right after its start.
const COLD_SPEED: f64 = 0.4;

/// Requests that an engine finishes before it is fully warm.
const WARM_AFTER: u32 = 16;

/// How long an engine is down after it collapsed.
const RESTART: Duration = Duration::from_secs(5);

/// Waiting requests that an engine holds at most.
const QUEUE_LIMIT: usize = 1024;

/// What an engine can do, the constants of its cost function.
#[derive(Debug, Clone, PartialEq)]
pub struct Rates {
    /// Tokens whose KV cache fits in its memory.
    pub memory: Tokens,
    /// Prompt tokens that it prefills a second when warm.
    pub prefill: Rate,
    /// Tokens that it generates a second for one stream alone when warm.
    pub decode: Rate,
    /// What each running stream adds to a step when warm.
    pub stream_cost: Duration,
    /// The most streams in the batch.
    pub streams: u32,
    /// The most prompt tokens in one step; a whole prompt if absent.
    pub chunk: Option<Tokens>,
    /// The most requests that wait.
    pub queue: usize,
    /// The streams that it bears right after its start.
    pub cold_streams: u32,
    /// The share of its speed right after its start.
    pub cold_speed: f64,
    /// Finished requests until it is fully warm; 0 if it has no slow start.
    pub warm_after: u32,
    /// How long it is down after a collapse.
    pub restart: Duration,
}

impl Rates {
    /// Changes the speed of a stream alone, and with it what further streams add.
    pub fn set_decode(&mut self, decode: Rate) {
        self.decode = decode;
        self.stream_cost = decode.time_for(1).mul_f64(STREAM_SHARE);
    }
}

impl Default for Rates {
    fn default() -> Self {
        Self::from(&EngineLimits {
            memory: Tokens::new(600_000),
            prefill: Rate::per_second(40_000.0),
            decode: Rate::per_second(50.0),
            streams: 64,
            chunk: Some(Tokens::new(2048)),
            cold_streams: 2,
            fencing: true,
            kv_transfer: true,
        })
    }
}

impl From<&EngineLimits> for Rates {
    fn from(limits: &EngineLimits) -> Self {
        let alone = limits.decode.time_for(1);
        Self {
            memory: limits.memory,
            prefill: limits.prefill,
            decode: limits.decode,
            stream_cost: alone.mul_f64(STREAM_SHARE),
            streams: limits.streams,
            chunk: limits.chunk,
            queue: QUEUE_LIMIT,
            cold_streams: limits.cold_streams,
            cold_speed: COLD_SPEED,
            warm_after: WARM_AFTER,
            restart: RESTART,
        }
    }
}

/// One request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// Length of its prompt.
    pub prompt: Tokens,
    /// Hash of the prompt up to the end of each whole block of [`BLOCK_TOKENS`].
    pub blocks: Arc<[u64]>,
    /// Tokens to generate; one at least.
    pub output: Tokens,
    /// Its priority; 0 is most urgent.
    pub priority: u8,
    /// Memory that other engines of its group hold for it.
    pub elsewhere: Tokens,
}

impl Job {
    /// A request with neither cached prefix nor group, at the most urgent priority.
    #[must_use]
    pub fn new(id: RequestId, prompt: Tokens, output: Tokens) -> Self {
        Self {
            id,
            prompt,
            blocks: Arc::default(),
            output,
            priority: 0,
            elsewhere: Tokens::ZERO,
        }
    }
}

/// Why an engine took nothing on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Its queue is full.
    #[error("the queue is full")]
    Full,
    /// The request never fits in its memory.
    #[error("the request is larger than the memory")]
    TooLarge,
    /// It is cold and bears no more for now.
    #[error("the engine is cold and bears no more")]
    Cold,
    /// It is down and starts again.
    #[error("the engine is down")]
    Down,
    /// A request of this id is held already.
    #[error("a request of this id is held already")]
    Duplicate,
}

/// What a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of its prompt.
    #[serde(rename = "prompt_tokens")]
    pub prompt: Tokens,
    /// Tokens generated.
    #[serde(rename = "completion_tokens")]
    pub completion: Tokens,
    /// Prompt tokens that were not prefilled, since their KV cache stood there already.
    #[serde(rename = "cached_tokens")]
    pub cached: Tokens,
}

/// What an engine did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A prompt is prefilled; its first token follows as [`Event::Tokens`].
    FirstToken {
        /// The request.
        id: RequestId,
        /// When.
        at: Time,
        /// Prompt tokens that were not prefilled.
        cached: Tokens,
    },
    /// Tokens of one request were generated, one a step.
    Tokens {
        /// The request.
        id: RequestId,
        /// Their numbers within the answer, from 0.
        range: Range<u64>,
        /// When the last of them was.
        at: Time,
        /// How long after the one before it each of them was.
        every: Duration,
    },
    /// A request ended whole, and its memory is free.
    Finished {
        /// The request.
        id: RequestId,
        /// When.
        at: Time,
        /// What it used.
        usage: Usage,
    },
    /// The engine dropped all it held and starts again, cold.
    Collapsed {
        /// When.
        at: Time,
        /// What it dropped, by request.
        dropped: Vec<RequestId>,
        /// The new incarnation.
        incarnation: Incarnation,
    },
}

/// A request that an engine holds, as it lists them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The request.
    pub id: RequestId,
    /// Memory reserved for it here; nothing while it waits.
    pub memory: Tokens,
    /// Tokens generated for it.
    pub generated: u64,
}

/// How much an engine has to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Its present life.
    pub incarnation: Incarnation,
    /// Streams in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory reserved.
    pub memory_used: Tokens,
    /// All its memory.
    pub memory_total: Tokens,
    /// Prompt tokens still to prefill, of running and waiting requests.
    pub prefill_left: Tokens,
    /// Tokens in the prefix cache.
    pub cached: Tokens,
}
