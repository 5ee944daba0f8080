//! The inputs and results of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::choice::{Ranked, Score};
use crate::fleet::{Cost, Load};
use crate::id::{DataCentreId, UpstreamId};
use crate::units::Tokens;

/// The limits and thresholds of placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// The prefill time from which a prompt counts as long.
    #[serde(rename = "long")]
    pub long_threshold: Duration,
    /// The fraction of an engine's slots that short prompts fill before the next engine is used for them.
    #[serde(rename = "fill_share")]
    pub fill_ratio: f64,
    /// The prefill time that each engine should get of a long prompt.
    pub part_target: Duration,
    /// The longest part that an engine is given while the prompt can still wait for more engines.
    pub part_limit: Duration,
    /// The prefill time above which a prompt is refused, as it would delay too many others.
    #[serde(rename = "reading_limit")]
    pub prefill_limit: Duration,
    /// The longest part that may stall an engine that answers long prompts.
    #[serde(rename = "writer_part")]
    pub writer_part_limit: Duration,
    /// The most engines that prefill parts of a prompt beside its primary.
    #[serde(rename = "helpers")]
    pub max_helpers: usize,
    /// The answers to long prompts that one engine decodes concurrently.
    #[serde(rename = "answers")]
    pub answers_per_writer: u32,
    /// The requests that may queue at an upstream beyond its slots.
    #[serde(rename = "waiting")]
    pub max_queued: u32,
    /// How long a pool of engines keeps its size after fewer engines are needed.
    pub shrink_delay: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            // Half of the longest pause between two events that a short stream tolerates.
            long_threshold: Duration::from_millis(110),
            // Leaves room for requests that other nodes place at the same time.
            fill_ratio: 0.72,
            // Smaller parts stall more engines than the parallelism is worth.
            part_target: Duration::from_millis(300),
            // Short prompts that arrive at the engine in the meantime would be late after this.
            part_limit: Duration::from_millis(1200),
            // About two seconds on all engines of the users' deployments.
            prefill_limit: Duration::from_secs(25),
            // Together with one pass, it stays within the pauses allowed for most answers.
            writer_part_limit: Duration::from_millis(300),
            // The most helpers that an engine accepts in its list.
            max_helpers: 16,
            // Their context fills an engine's KV cache and slows its decode steps.
            answers_per_writer: 4,
            // A few requests wait for less than one pass.
            max_queued: 2,
            // A few passes; a longer delay withholds engines that long prompts need.
            shrink_delay: Duration::from_millis(700),
        }
    }
}

/// For whom a node places requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Authority {
    /// For itself alone, while other nodes do the same.
    #[default]
    Own,
    /// For all nodes.
    Shared,
}

/// The requirements of a request.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// The length of its prompt; zero unless it is for a model.
    pub prompt: Tokens,
    /// The maximum length of its answer.
    pub answer: Tokens,
    /// The latency objective for its first event.
    pub objective: Duration,
    /// The longest pause between events that its caller tolerates, if the answer is a stream.
    pub pause: Option<Duration>,
    /// How long ago the caller first sent the request, as far as is known.
    pub age: Duration,
    /// How long the caller waits for the first event of this attempt.
    pub patience: Duration,
    /// How long this attempt has waited already.
    pub waited: Duration,
    /// How long is left until the answer must be complete.
    pub time_left: Duration,
    /// The upstreams that have already failed it.
    pub avoid: Vec<UpstreamId>,
    /// The data centre of the upstreams to choose from, if not all may be chosen.
    pub within: Option<DataCentreId>,
    /// For whom it is placed.
    pub authority: Authority,
    /// Whether the basis of the placement holds the scores of all candidates.
    pub trace: bool,
}

/// The upstreams chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The upstream that gets the request and answers.
    pub primary: UpstreamId,
    /// The cost at the primary.
    pub cost: Cost,
    /// The engines that prefill parts of the prompt, with the cost at each.
    pub helpers: Vec<(UpstreamId, Cost)>,
    /// The state that the choice is based on.
    pub basis: Basis,
}

/// The state that a placement is based on, for logs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Basis {
    /// The number of candidates.
    pub choices: usize,
    /// The number of candidates for short prompts.
    pub shorts: usize,
    /// The number of candidates that answer long prompts.
    pub writers: usize,
    /// The known load of the chosen upstream.
    pub load: Load,
    /// The longest pending prefill time among the chosen engines.
    pub wait: Duration,
    /// The age of the newest load report of another node, if there is one.
    pub age: Option<Duration>,
    /// The score of the chosen upstream.
    pub score: Score,
    /// The runner-up, with its score.
    pub next: Option<(UpstreamId, Score)>,
    /// The candidates with their scores, the best first; empty unless [`Demand::trace`] is set.
    pub ranking: Vec<Ranked>,
}

/// Why a request cannot be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Overload {
    /// There is no usable upstream.
    None,
    /// All upstreams are full; capacity is expected after this time.
    Full(Duration),
    /// Prefill of other prompts goes first; try again after this time.
    Queued(Duration),
    /// The time left is too short; the request needs at least this time.
    Late(Duration),
    /// The prompt does not fit into the KV cache of any engine.
    TooLong,
}
