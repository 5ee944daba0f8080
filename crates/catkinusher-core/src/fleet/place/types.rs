//! What placing is asked and what it answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{Cost, Load};
use crate::id::UpstreamId;
use crate::units::Tokens;

/// The bounds of placing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// The reading time above which a prompt counts as long.
    #[serde(rename = "long")]
    pub long_threshold: Duration,
    /// The share of an engine's places that short prompts fill before the next engine is opened.
    #[serde(rename = "fill_share")]
    pub fill_ratio: f64,
    /// The reading time that each engine should get of a long prompt.
    pub part_target: Duration,
    /// The longest part that an engine reads while its prompt may still wait for more engines.
    pub part_limit: Duration,
    /// The reading time above which a prompt is refused, as it would hold up too many others.
    #[serde(rename = "reading_limit")]
    pub prefill_limit: Duration,
    /// The longest part that may hold up an engine that writes.
    #[serde(rename = "writer_part")]
    pub writer_part_limit: Duration,
    /// The most engines that read one prompt together.
    #[serde(rename = "helpers")]
    pub max_helpers: usize,
    /// The answers of long prompts that one engine writes together.
    #[serde(rename = "answers")]
    pub answers_per_writer: u32,
    /// Requests beyond the places of an upstream that may wait there.
    #[serde(rename = "waiting")]
    pub max_queued: u32,
    /// How long the number of engines for short prompts stays after less is needed.
    pub shrink_delay: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            // Half of what a short stream bears between two events.
            long_threshold: Duration::from_millis(110),
            // Leaves room for what other nodes place at the same moment.
            fill_ratio: 0.72,
            // Smaller parts disturb more engines than they gain.
            part_target: Duration::from_millis(300),
            // Short questions that come to its engine meanwhile are late by then.
            part_limit: Duration::from_millis(1200),
            // Some two seconds of all engines of the users' deployments.
            prefill_limit: Duration::from_secs(25),
            // With a pass it stays within the pauses of most answers.
            writer_part_limit: Duration::from_millis(300),
            // The most that an engine takes on its list.
            max_helpers: 16,
            // Their context fills an engine's memory and slows its steps.
            answers_per_writer: 4,
            // A few requests wait for less than a pass.
            max_queued: 2,
            // Some passes; longer holds engines back that long prompts need.
            shrink_delay: Duration::from_millis(700),
        }
    }
}

/// What a request needs of its upstream.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// The length of its prompt, if it is for a model.
    pub prompt: Tokens,
    /// The most tokens that its answer may have.
    pub answer: Tokens,
    /// The time within which its first event is on time.
    pub objective: Duration,
    /// How long ago the caller first asked, as far as can be told.
    pub age: Duration,
    /// How long the caller waits for the first sign of this attempt.
    pub patience: Duration,
    /// How long this attempt has waited already.
    pub waited: Duration,
    /// How long is left until its answer must be whole.
    pub time_left: Duration,
    /// The upstreams that have failed it already.
    pub avoid: Vec<UpstreamId>,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The upstream that gets the request and answers.
    pub primary: UpstreamId,
    /// What it costs that upstream.
    pub cost: Cost,
    /// Engines that read parts of the prompt, and what that costs each.
    pub helpers: Vec<(UpstreamId, Cost)>,
    /// What it was chosen by.
    pub basis: Basis,
}

/// What a placement was chosen by, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Basis {
    /// The upstreams that could have been chosen.
    pub choices: usize,
    /// Those of them that are for short prompts.
    pub shorts: usize,
    /// Those of them that answer long prompts.
    pub writers: usize,
    /// What the chosen one was believed to have under way.
    pub load: Load,
    /// The longest time that any of its engines is still to read.
    pub wait: Duration,
}

/// Why a request finds no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// None is listed that serves.
    None,
    /// All are full; room is expected after this time.
    Full(Duration),
    /// Shorter prompts are being read; ask again after this time.
    Queued(Duration),
    /// It cannot end in the time that is left, which is so much less than it needs.
    Late(Duration),
    /// No engine's memory holds the prompt.
    TooLong,
}
