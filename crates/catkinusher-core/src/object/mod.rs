//! Requests to the object API and their results, as plain values.
//!
//! Decision code that keeps data in the platform's store returns calls of
//! these types and receives the answers; a client in another crate performs
//! the I/O (see [docs/PROTOCOLS.md](../../../../docs/PROTOCOLS.md)).

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The history of a store to which a version belongs.
///
/// A store that comes back from an older copy begins a new era: it has lost what it had
/// acknowledged since the copy, and gives the same version numbers out again
/// (see [docs/PROTOCOLS.md](../../../../docs/PROTOCOLS.md)).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(u64);

impl Era {
    /// The era of a store that names none.
    pub const NONE: Self = Self(0);

    /// Creates an era from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of the era.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The version of an object; versions increase across the whole store.
///
/// A number names a state within one era only, so every version of a later era is newer.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "VersionForm", from = "VersionForm")]
pub struct Version {
    era: Era,
    number: u64,
}

/// The serialized form of a [`Version`]: the number alone if the store names no eras.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum VersionForm {
    Number(u64),
    InEra(Era, u64),
}

impl From<Version> for VersionForm {
    fn from(version: Version) -> Self {
        match version.era {
            Era::NONE => Self::Number(version.number),
            era => Self::InEra(era, version.number),
        }
    }
}

impl From<VersionForm> for Version {
    fn from(form: VersionForm) -> Self {
        match form {
            VersionForm::Number(number) => Self::new(number),
            VersionForm::InEra(era, number) => Self::new(number).in_era(era),
        }
    }
}

impl Version {
    /// The version of an object that does not exist.
    pub const NONE: Self = Self::new(0);

    /// Creates a version of a store that names no eras.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self {
            era: Era::NONE,
            number,
        }
    }

    /// The same number in an era of the store.
    #[must_use]
    pub const fn in_era(self, era: Era) -> Self {
        Self { era, ..self }
    }

    /// The version number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.number
    }

    /// The era of the store in which the number holds.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }

    /// The version before this one.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self {
            number: self.number.saturating_sub(1),
            ..self
        }
    }
}

impl fmt::Debug for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut tuple = f.debug_tuple("Version");
        tuple.field(&self.number);
        if self.era != Era::NONE {
            tuple.field(&self.era);
        }
        tuple.finish()
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.number)?;
        if self.era == Era::NONE {
            return Ok(());
        }
        write!(f, "@{}", self.era)
    }
}

impl FromStr for Version {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (text, era) = match text.split_once('@') {
            Some((text, era)) => (text, era.parse()?),
            None => (text, Era::NONE),
        };
        let digits = text.strip_prefix('v').unwrap_or(text);
        digits.parse().map(|number| Self::new(number).in_era(era))
    }
}

/// One call to the object API.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call<V> {
    /// Read the object.
    Read {
        /// The name of the object within its kind.
        name: String,
    },
    /// Write the object if its version is still `version`; create it if that is [`Version::NONE`].
    Write {
        /// The name of the object within its kind.
        name: String,
        /// The expected current version.
        version: Version,
        /// The value to write.
        value: V,
    },
    /// Delete the object, whatever its version.
    Delete {
        /// The name of the object within its kind.
        name: String,
    },
}

/// The result of one [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer<V> {
    /// A read found the object.
    Found {
        /// The version read.
        version: Version,
        /// The value read.
        value: V,
    },
    /// A read found no object, or a delete completed.
    Missing,
    /// A write succeeded and gave the object this version.
    Written {
        /// The new version.
        version: Version,
    },
    /// A write was rejected because the object has another version.
    Conflict,
    /// No answer arrived; a write may have taken effect or may still do so.
    Lost,
    /// The store rejected the call, because of an outage or its rate limit; nothing was written.
    Away,
}
