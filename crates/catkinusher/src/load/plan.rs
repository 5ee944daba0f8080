//! What traffic to send.

use std::net::SocketAddr;
use std::num::ParseFloatError;
use std::str::FromStr;

use thiserror::Error;

use catkinusher_core::class::{CLASS_COUNT, LONG_LIMIT, LengthClass, MEDIUM_LIMIT, SHORT_LIMIT};
use catkinusher_core::id::{CustomerId, ModelId, ParseIdError};
use catkinusher_core::units::{Rate, Span, Tokens};

/// The shortest prompt, in tokens.
const SHORTEST: Tokens = Tokens::new(1_000);

/// The longest prompt, in tokens.
const LONGEST: Tokens = Tokens::new(1_000_000);

/// A customer that traffic is sent for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Its name, for the report.
    pub name: CustomerId,
    /// Its bearer key.
    pub key: String,
    /// Its share of the traffic against other callers.
    pub weight: u32,
}

/// Why a text names no caller.
#[derive(Debug, Error)]
pub enum ParseCallerError {
    /// It has no equals sign.
    #[error("a caller is written NAME=KEY or NAME=KEY=WEIGHT")]
    Form,
    /// Its name is none.
    #[error("{0}")]
    Name(#[from] ParseIdError),
    /// Its weight is none.
    #[error("a weight is a number above 0")]
    Weight,
}

impl FromStr for Caller {
    type Err = ParseCallerError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '=');
        let name = parts.next().unwrap_or_default().parse()?;
        let key = parts.next().ok_or(ParseCallerError::Form)?.to_owned();
        let weight = match parts.next() {
            Some(weight) => weight.parse().map_err(|_number| ParseCallerError::Weight)?,
            None => 1,
        };
        if weight == 0 {
            return Err(ParseCallerError::Weight);
        }
        Ok(Self { name, key, weight })
    }
}

/// One length class of the traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// The class.
    pub class: LengthClass,
    /// Its share of the arrivals.
    pub share: f64,
    /// Its shortest prompt.
    pub least: Tokens,
    /// Its longest prompt.
    pub most: Tokens,
}

/// The shares of the length classes, by [`LengthClass::index`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mix([f64; CLASS_COUNT]);

impl Mix {
    /// The share of a class among all.
    #[must_use]
    pub fn share(&self, class: LengthClass) -> f64 {
        self.0[class.index()] / self.0.iter().sum::<f64>()
    }

    /// Each class with its lengths, none of them over `longest`.
    #[must_use]
    pub fn parts(&self, longest: Tokens) -> [Part; CLASS_COUNT] {
        LengthClass::ALL.map(|class| {
            let (least, most) = lengths(class);
            Part {
                class,
                share: self.share(class),
                least: least.min(longest),
                most: most.min(longest),
            }
        })
    }
}

impl Default for Mix {
    /// One prompt in fifty is over a hundred thousand tokens.
    fn default() -> Self {
        Self([0.88, 0.07, 0.03, 0.02])
    }
}

/// Why a text is no mix.
#[derive(Debug, Error)]
pub enum ParseMixError {
    /// A part has no equals sign or no class.
    #[error("a mix is written short=88,medium=7,long=3,huge=2")]
    Form,
    /// A share is no number.
    #[error("{0}")]
    Share(#[from] ParseFloatError),
    /// No class has a share.
    #[error("the shares are 0 or more, and one is above 0")]
    Empty,
}

impl FromStr for Mix {
    type Err = ParseMixError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut shares = [0.0_f64; CLASS_COUNT];
        for part in text.split(',') {
            let (name, share) = part.trim().split_once('=').ok_or(ParseMixError::Form)?;
            let class = LengthClass::ALL
                .iter()
                .find(|class| class.to_string() == name);
            let class = class.ok_or(ParseMixError::Form)?;
            shares[class.index()] = share.parse()?;
        }
        let fit = shares
            .iter()
            .all(|share| share.is_finite() && *share >= 0.0);
        if fit && shares.iter().sum::<f64>() > 0.0 {
            Ok(Self(shares))
        } else {
            Err(ParseMixError::Empty)
        }
    }
}

fn lengths(class: LengthClass) -> (Tokens, Tokens) {
    let after = |limit: Tokens| limit + Tokens::new(1);
    match class {
        LengthClass::Short => (SHORTEST, SHORT_LIMIT),
        LengthClass::Medium => (after(SHORT_LIMIT), MEDIUM_LIMIT),
        LengthClass::Long => (after(MEDIUM_LIMIT), LONG_LIMIT),
        LengthClass::Huge => (after(LONG_LIMIT), LONGEST),
    }
}

/// The traffic of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Where callers reach the system, as a balancer would spread them.
    pub entries: Vec<SocketAddr>,
    /// For whom it is sent.
    pub callers: Vec<Caller>,
    /// The model that is asked for.
    pub model: ModelId,
    /// The shares of the length classes.
    pub mix: Mix,
    /// The longest prompt that is sent.
    pub longest: Tokens,
    /// Arrivals a second of all classes together.
    pub rate: Rate,
    /// How long short prompts arrive alone.
    pub alone: Span,
    /// How long all classes arrive.
    pub mixed: Span,
    /// The length of every answer.
    pub answer: Tokens,
    /// The time that each request is given.
    pub timeout: Span,
    /// The most requests that are sent, the earliest ones.
    pub most: u64,
    /// The most requests that are open at a time.
    pub open: usize,
    /// What the arrivals are drawn from.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            callers: Vec::new(),
            model: "model".parse().expect("a name"),
            mix: Mix::default(),
            longest: LONGEST,
            rate: Rate::per_second(20.0),
            alone: Span::from_secs(10),
            mixed: Span::from_secs(20),
            answer: Tokens::new(32),
            timeout: Span::from_secs(60),
            most: 100_000,
            open: 2_000,
            seed: 1,
        }
    }
}

/// Why a plan cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PlanError {
    /// There is no address to send to.
    #[error("a plan needs an entry's address")]
    Entries,
    /// There is nobody to send for.
    #[error("a plan needs a caller with its key")]
    Callers,
    /// A key cannot stand in a header, which takes ASCII only.
    #[error("a caller's key is of ASCII letters, digits and signs")]
    Key,
    /// The rate is no positive number.
    #[error("a plan's rate is above 0")]
    Rate,
}

impl Plan {
    pub(super) fn check(&self) -> Result<(), PlanError> {
        if self.entries.is_empty() {
            return Err(PlanError::Entries);
        }
        if self.callers.is_empty() {
            return Err(PlanError::Callers);
        }
        let fits = |key: &String| key.bytes().all(|byte| byte.is_ascii_graphic());
        if !self.callers.iter().all(|caller| fits(&caller.key)) {
            return Err(PlanError::Key);
        }
        if !self.rate.get().is_finite() || self.rate.get() <= 0.0 {
            return Err(PlanError::Rate);
        }
        Ok(())
    }
}
