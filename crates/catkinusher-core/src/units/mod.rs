//! Newtypes for sizes, rates and time spans, with text forms for settings.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error for a string that is not a valid size, rate or span.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is no {what}; expected {expected}")]
pub struct ParseUnitError {
    /// The input text.
    pub text: String,
    /// The kind of value that was parsed.
    pub what: &'static str,
    /// The accepted formats.
    pub expected: &'static str,
}

fn split_number(text: &str) -> Option<(f64, &str)> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.' && c != '_')
        .unwrap_or(text.len());
    let number = text[..end].replace('_', "").parse::<f64>().ok()?;
    Some((number, text[end..].trim()))
}

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $what:literal, $expected:literal, [$(($suffix:literal, $factor:literal)),* $(,)?]) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "Raw", into = "u64")]
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Creates a size from its count.
            #[must_use]
            pub const fn new(count: u64) -> Self {
                Self(count)
            }

            /// The count.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Subtracts `other`, saturating at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let fail = || ParseUnitError {
                    text: text.to_owned(),
                    what: $what,
                    expected: $expected,
                };
                let (number, suffix) = split_number(text).ok_or_else(fail)?;
                let factor: u64 = match suffix {
                    "" => 1,
                    $($suffix => $factor,)*
                    _ => return Err(fail()),
                };
                Ok(Self((number * factor as f64).round() as u64))
            }
        }

        impl TryFrom<Raw> for $name {
            type Error = ParseUnitError;

            fn try_from(raw: Raw) -> Result<Self, Self::Error> {
                match raw {
                    Raw::Count(count) => Ok(Self(count)),
                    Raw::Text(text) => text.parse(),
                }
            }
        }

        impl From<$name> for u64 {
            fn from(size: $name) -> Self {
                size.0
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, rhs: Self) -> Self {
                Self(self.0.saturating_add(rhs.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, rhs: Self) {
                self.0 = self.0.saturating_add(rhs.0);
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, rhs: Self) -> Self {
                Self(self.0 - rhs.0)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, rhs: Self) {
                self.0 -= rhs.0;
            }
        }

        impl Sum for $name {
            fn sum<I>(iter: I) -> Self
            where
                I: Iterator<Item = Self>,
            {
                iter.fold(Self(0), Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

/// A size in a settings file: a plain count or a string with a unit.
#[derive(Deserialize)]
#[serde(untagged)]
enum Raw {
    Count(u64),
    Text(String),
}

size! {
    /// A count of tokens, of a prompt or of an answer.
    Tokens, "count of tokens", "a number such as 4000, \"4k\" or \"1M\"",
    [("k", 1_000), ("M", 1_000_000)]
}
size! {
    /// A count of bytes.
    Bytes, "count of bytes", "a number such as 65536, \"64KiB\", \"8MiB\" or \"80GiB\"",
    [("B", 1), ("kB", 1_000), ("MB", 1_000_000), ("GB", 1_000_000_000),
     ("KiB", 1_024), ("MiB", 1_048_576), ("GiB", 1_073_741_824)]
}

/// The longest duration that is computed from a count of seconds; sums and small multiples of it
/// are durations, too.
const MAX_DURATION: Duration = Duration::from_hours(24 * 365);

/// The duration of so many seconds, for counts that come from outside.
///
/// What is negative or not a number is none, and what is too long is a year.
#[must_use]
pub fn seconds(count: f64) -> Duration {
    let max = MAX_DURATION.as_secs_f64();
    if count > 0.0 {
        Duration::from_secs_f64(count.min(max))
    } else {
        Duration::ZERO
    }
}

/// A rate in events, tokens or bytes per second, depending on its field.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate from a count per second.
    #[must_use]
    pub const fn per_second(count: f64) -> Self {
        Self(count)
    }

    /// The count per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// The time that `count` units take at this rate.
    #[must_use]
    pub fn time_for(self, count: u64) -> Duration {
        if self.0 <= 0.0 {
            return Duration::MAX;
        }
        Duration::try_from_secs_f64(count as f64 / self.0).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || ParseUnitError {
            text: text.to_owned(),
            what: "rate",
            expected: "a number a second, such as 200 or \"200/s\"",
        };
        match split_number(text).ok_or_else(fail)? {
            (number, "" | "/s") => Ok(Self(number)),
            _ => Err(fail()),
        }
    }
}

/// A duration in the text form of settings, such as `"250ms"`, `"5s"` or `"2min"`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(Duration);

impl Span {
    /// Creates a span from a duration.
    #[must_use]
    pub const fn new(length: Duration) -> Self {
        Self(length)
    }

    /// The span of this many milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// The span of this many seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }

    /// The duration.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl FromStr for Span {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || ParseUnitError {
            text: text.to_owned(),
            what: "span of time",
            expected: "a number with a unit, such as \"250ms\", \"5s\", \"2min\" or \"1h\"",
        };
        let (number, unit) = split_number(text).ok_or_else(fail)?;
        let factor = match unit {
            "us" => 1e-6,
            "ms" => 1e-3,
            "s" => 1.0,
            "min" => 60.0,
            "h" => 3600.0,
            _ => return Err(fail()),
        };
        Duration::try_from_secs_f64(number * factor)
            .map(Self)
            .map_err(|_overflow| fail())
    }
}

impl TryFrom<String> for Span {
    type Error = ParseUnitError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> Self {
        span.to_string()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros();
        if micros.is_multiple_of(1_000_000) {
            write!(f, "{}s", micros / 1_000_000)
        } else if micros.is_multiple_of(1000) {
            write!(f, "{}ms", micros / 1000)
        } else {
            write!(f, "{micros}us")
        }
    }
}
