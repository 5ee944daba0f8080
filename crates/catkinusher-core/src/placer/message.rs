//! The messages between a node that has a request and the node that places it.

use serde::{Deserialize, Serialize};

use crate::fleet::{Cell, Cost, Load, Overload};
use crate::id::{DataCentreId, Serial, ServiceId};
use crate::units::Tokens;

/// A request to be placed, as its node describes it. Durations are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "AskRow", from = "AskRow")]
pub struct Ask {
    /// The serial of the ask at its node; repeats of an ask have the same.
    pub serial: Serial,
    /// The cell whose upstreams may be chosen.
    pub cell: Cell,
    /// Whether another cell has passed it on already.
    pub forwarded: bool,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The maximum length of the answer.
    pub answer: Tokens,
    /// The latency objective.
    pub objective: u64,
    /// The longest pause between events that the caller tolerates.
    pub pause: Option<u64>,
    /// How long ago the caller first sent the request.
    pub age: u64,
    /// How long the caller waits for the first event.
    pub patience: u64,
    /// How long this attempt has waited at its node.
    pub waited: u64,
    /// How long is left until the answer must be complete.
    pub left: u64,
    /// The short ids of upstreams that have failed it or that its node cannot use.
    pub avoid: Vec<u32>,
}

/// The fields of an [`Ask`] in order, without names, as asks are sent often.
type AskRow = (
    Serial,
    ServiceId,
    Option<DataCentreId>,
    bool,
    (u64, u64),
    (u64, Option<u64>, u64, u64, u64, u64),
    Vec<u32>,
);

impl From<Ask> for AskRow {
    fn from(ask: Ask) -> Self {
        (
            ask.serial,
            ask.cell.service,
            ask.cell.data_centre,
            ask.forwarded,
            (ask.prompt.get(), ask.answer.get()),
            (
                ask.objective,
                ask.pause,
                ask.age,
                ask.patience,
                ask.waited,
                ask.left,
            ),
            ask.avoid,
        )
    }
}

impl From<AskRow> for Ask {
    fn from(
        (
            serial,
            service,
            data_centre,
            forwarded,
            (prompt, answer),
            (objective, pause, age, patience, waited, left),
            avoid,
        ): AskRow,
    ) -> Self {
        Self {
            serial,
            cell: Cell {
                service,
                data_centre,
            },
            forwarded,
            prompt: Tokens::new(prompt),
            answer: Tokens::new(answer),
            objective,
            pause,
            age,
            patience,
            waited,
            left,
            avoid,
        }
    }
}

/// One upstream's part in a placed request: its short id and the cost there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "PartRow", from = "PartRow")]
pub struct Part {
    /// The short id of the upstream.
    pub upstream: u32,
    /// The cost there.
    pub cost: Cost,
}

/// The fields of a [`Part`]: the upstream, the kind, prefill milliseconds, and tokens held.
type PartRow = (u32, crate::fleet::WorkKind, u64, u64);

impl From<Part> for PartRow {
    fn from(part: Part) -> Self {
        let Cost {
            kind,
            prefill_time,
            held_tokens,
        } = part.cost;
        let prefill_ms = prefill_time.as_millis() as u64;
        (part.upstream, kind, prefill_ms, held_tokens.get())
    }
}

impl From<PartRow> for Part {
    fn from((upstream, kind, prefill_ms, held_tokens): PartRow) -> Self {
        let cost = Cost::received(kind, prefill_ms, held_tokens);
        Self { upstream, cost }
    }
}

/// The upstreams on which a request was placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The serial of the grant, which the node's next report covers.
    #[serde(rename = "g")]
    pub grant: Serial,
    /// The upstream that answers.
    #[serde(rename = "p")]
    pub primary: Part,
    /// The upstreams that prefill parts of the prompt.
    #[serde(rename = "h")]
    pub helpers: Vec<Part>,
    /// The number of upstreams that were considered, for logs.
    #[serde(rename = "c")]
    pub choices: u32,
    /// The load of the primary before, for logs.
    #[serde(rename = "l")]
    pub load: Load,
    /// The longest pending prefill among the chosen upstreams, in milliseconds.
    #[serde(rename = "w")]
    pub wait: u64,
    /// Whether the upstream that answers is believed to have a limit; an answer without one is news.
    #[serde(rename = "n", default, skip_serializing_if = "std::ops::Not::not")]
    pub limited: bool,
    /// The number of upstreams for short prompts, for logs.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub shorts: u32,
    /// The number of upstreams that answer long prompts, for logs.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub writers: u32,
    /// The age in milliseconds of the newest load report at the node that placed it, for logs.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age: Option<u64>,
    /// The score of the primary in thousandths, for logs.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub score: Option<u64>,
    /// The short id of the runner-up with its score in thousandths, for logs.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<(u32, u64)>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// The decision on an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is placed.
    #[serde(rename = "g")]
    Granted(Granted),
    /// It waits for other prompts; the ask must be repeated now and then.
    #[serde(rename = "w")]
    Waiting,
    /// It cannot be placed.
    #[serde(rename = "o")]
    Overloaded(Overload),
    /// This node cannot place it, since it is leaving or does not know the service.
    #[serde(rename = "u")]
    Unable,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "AnswerRow", from = "AnswerRow")]
pub struct Answer {
    /// The serial of the ask.
    pub serial: Serial,
    /// The decision.
    pub verdict: Verdict,
}

type AnswerRow = (Serial, Verdict);

impl From<Answer> for AnswerRow {
    fn from(answer: Answer) -> Self {
        (answer.serial, answer.verdict)
    }
}

impl From<AnswerRow> for Answer {
    fn from((serial, verdict): AnswerRow) -> Self {
        Self { serial, verdict }
    }
}
