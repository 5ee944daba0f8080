//! The choice of the candidate with the lowest score, and the reason for it.

use std::fmt;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::{Basis, Candidate};
use crate::id::UpstreamId;

/// Thousandths in one unit of a score.
const SCALE: f64 = 1e3;

/// How well an upstream suits a request; lower is better.
///
/// The unit is a millisecond for prompts in a cell and for long prompts, and the whole of an
/// upstream's slots otherwise. Scores are kept in thousandths, which are short in messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "f64", from = "f64")]
pub struct Score(u64);

impl Score {
    /// Creates a score from its value; negative values count as 0.
    #[must_use]
    pub fn new(value: f64) -> Self {
        Self((value * SCALE).round() as u64)
    }

    /// Creates a score from its thousandths.
    #[must_use]
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// The score in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u64 {
        self.0
    }
}

impl From<f64> for Score {
    fn from(value: f64) -> Self {
        Self::new(value)
    }
}

impl From<Score> for f64 {
    fn from(score: Score) -> Self {
        score.0 as Self / SCALE
    }
}

impl fmt::Display for Score {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(*self))
    }
}

/// One term of a score.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// What it stands for.
    pub name: String,
    /// Its part of the score.
    pub value: Score,
}

/// A candidate with its score.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranked {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The sum of the terms.
    pub score: Score,
    /// The terms.
    pub terms: Vec<Term>,
    /// The requests that it is known to answer.
    pub answers: u32,
    /// The parts of prompts that it is known to prefill for others.
    pub parts: u32,
}

/// The terms of a candidate's score, with their names, in the order in which they are added.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms<const N: usize>(pub(super) [(&'static str, f64); N]);

impl<const N: usize> Terms<N> {
    pub(super) fn total(&self) -> f64 {
        self.0.iter().map(|(_, value)| value).sum()
    }

    fn ranked(&self, candidate: &Candidate<'_>) -> Ranked {
        let term = |(name, value): &(&str, f64)| Term {
            name: (*name).to_owned(),
            value: Score::new(*value),
        };
        Ranked {
            upstream: candidate.id.clone(),
            score: Score::new(self.total()),
            terms: self.0.iter().map(term).collect(),
            answers: candidate.load.active_requests(),
            parts: candidate.load.parts,
        }
    }
}

/// The candidate with the lowest score, and those that were not chosen.
pub(super) struct Choice<'a, 'b> {
    pub(super) best: &'b Candidate<'a>,
    pub(super) score: Score,
    pub(super) runner_up: Option<(&'b Candidate<'a>, Score)>,
    /// All candidates, the best first, if they are traced.
    pub(super) ranking: Vec<Ranked>,
}

impl<'a, 'b> Choice<'a, 'b> {
    /// A candidate that was chosen for another reason than its score.
    pub(super) fn only<const N: usize>(best: &'b Candidate<'a>, terms: Terms<N>) -> Self {
        Self {
            best,
            score: Score::new(terms.total()),
            runner_up: None,
            ranking: Vec::new(),
        }
    }

    /// The reason for the choice among `choices` candidates, `shorts` of them for short prompts.
    pub(super) fn basis(&self, choices: usize, shorts: usize) -> Basis {
        Basis {
            choices,
            shorts,
            score: self.score,
            next: self.next(),
            ranking: self.ranking.clone(),
            ..Basis::default()
        }
    }

    /// The id of the second-best candidate, with its score.
    pub(super) fn next(&self) -> Option<(UpstreamId, Score)> {
        self.runner_up
            .map(|(candidate, score)| (candidate.id.clone(), score))
    }
}

/// Chooses the candidate with the lowest score.
///
/// A random number below `tie_width` is added to each, so that equal ones are chosen in turn.
/// `trace` asks for the ranking of all candidates.
pub(super) fn choose<'a, 'b, I, R, const N: usize>(
    candidates: I,
    tie_width: f64,
    trace: bool,
    rng: &mut R,
) -> Option<Choice<'a, 'b>>
where
    'a: 'b,
    I: Iterator<Item = (&'b Candidate<'a>, Terms<N>)>,
    R: Rng,
{
    let mut best: Option<Scored<'a, 'b>> = None;
    let mut second: Option<Scored<'a, 'b>> = None;
    let mut traced = Vec::new();
    for (candidate, terms) in candidates {
        let score = terms.total();
        let drawn = score + rng.random_range(0.0..tie_width);
        let one = Scored {
            drawn,
            score,
            candidate,
        };
        if trace {
            traced.push((drawn, terms.ranked(candidate)));
        }
        if one.is_below(best.as_ref()) {
            second = best.replace(one);
        } else if one.is_below(second.as_ref()) {
            second = Some(one);
        }
    }
    traced.sort_by(|a, b| a.0.total_cmp(&b.0));
    let best = best?;
    Some(Choice {
        best: best.candidate,
        score: Score::new(best.score),
        runner_up: second.map(|one| (one.candidate, Score::new(one.score))),
        ranking: traced.into_iter().map(|(_, ranked)| ranked).collect(),
    })
}

/// A candidate with its score, alone and with the random number that breaks ties.
struct Scored<'a, 'b> {
    drawn: f64,
    score: f64,
    candidate: &'b Candidate<'a>,
}

impl Scored<'_, '_> {
    fn is_below(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| self.drawn.total_cmp(&other.drawn).is_lt())
    }
}
