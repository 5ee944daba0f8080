//! Prompt length classes, by which prompts are queued and placed separately.
//!
//! See [docs/design/decisions.md](../../../../docs/design/decisions.md).

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::Tokens;

/// The longest prompt of class [`LengthClass::Short`].
pub const SHORT_LIMIT: Tokens = Tokens::new(8_000);

/// The longest prompt of class [`LengthClass::Medium`].
pub const MEDIUM_LIMIT: Tokens = Tokens::new(32_000);

/// The longest prompt of class [`LengthClass::Long`].
pub const LONG_LIMIT: Tokens = Tokens::new(100_000);

/// Number of length classes.
pub const CLASS_COUNT: usize = 4;

/// The length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LengthClass {
    /// For example a question; answered immediately.
    Short,
    /// For example a letter or a small document.
    Medium,
    /// A document whose prefill takes seconds.
    Long,
    /// A prompt whose prefill takes many seconds, perhaps on several engines.
    Huge,
}

impl LengthClass {
    /// Every class, shortest first.
    pub const ALL: [Self; CLASS_COUNT] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// The class of a prompt of this length.
    #[must_use]
    pub fn of(prompt: Tokens) -> Self {
        if prompt <= SHORT_LIMIT {
            Self::Short
        } else if prompt <= MEDIUM_LIMIT {
            Self::Medium
        } else if prompt <= LONG_LIMIT {
            Self::Long
        } else {
            Self::Huge
        }
    }

    /// The index in [`LengthClass::ALL`], for arrays indexed by class.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The engine priority of this class; 0 is most urgent.
    #[must_use]
    pub const fn priority(self) -> u8 {
        match self {
            Self::Short | Self::Medium => 0,
            Self::Long => 1,
            Self::Huge => 2,
        }
    }

    /// Whether a prefill of this class is long enough to delay other requests.
    #[must_use]
    pub const fn is_bulky(self) -> bool {
        matches!(self, Self::Long | Self::Huge)
    }
}

impl fmt::Display for LengthClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        })
    }
}
