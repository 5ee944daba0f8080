//! Identifiers of declared entities, requests and process incarnations.
//!
//! Each kind of identifier is a distinct type, so that a customer cannot be
//! passed where a service is expected.
//!
//! Names that are declared with us stay simple, as they stand on command lines and in paths.
//! Services and customers may also be declared elsewhere, by rules that are not ours, so
//! their names are deserialized as they are.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a declared name, in bytes.
pub const NAME_LIMIT: usize = 128;

/// The error for a string that is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("a name is not empty")]
    Empty,
    /// The text has more than [`NAME_LIMIT`] bytes.
    #[error("a name has at most {NAME_LIMIT} bytes")]
    TooLong,
    /// The text contains a control character, white space or a slash.
    #[error("a name holds no white space, control character or slash")]
    BadCharacter,
}

/// Checks a name that was declared elsewhere: it has to fit into one line.
fn check(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.chars().any(char::is_control) {
        return Err(ParseIdError::BadCharacter);
    }
    Ok(())
}

/// Checks a name that is declared with us.
fn check_declared(text: &str) -> Result<(), ParseIdError> {
    check(text)?;
    if text.len() > NAME_LIMIT {
        return Err(ParseIdError::TooLong);
    }
    if text
        .chars()
        .any(|c| c.is_whitespace() || c.is_control() || c == '/')
    {
        return Err(ParseIdError::BadCharacter);
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        name! { $(#[$doc])* $name, check_declared }
    };
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_declared(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                $check(&text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A region, within which data centres are a few milliseconds apart.
    RegionId
}
name! {
    /// A data centre, the unit that operators drain and that fails as a whole.
    DataCentreId
}
name! {
    /// A VM that runs catkinusher or upstreams.
    VmId
}
name! {
    /// A service that callers address: a language model deployment or a plain application.
    ServiceId, check
}
name! {
    /// One server of a service.
    UpstreamId
}
name! {
    /// A customer, identified by the bearer key that callers present.
    CustomerId, check
}
name! {
    /// A model that engines load.
    ModelId
}
name! {
    /// A part of a prompt that several requests may share, such as a document.
    PartId
}
name! {
    /// A request ID, unique in the fleet; assigned by the node that accepted the request.
    RequestId
}
name! {
    /// The ID of an inventory change, chosen by the operator's client.
    ChangeId
}

/// The incarnation number of a process; each restart takes another one.
///
/// It is a higher one where the number is stored, and a random one where nothing outlives the process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The incarnation number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next incarnation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_start_matches('#').parse().map(Self)
    }
}

/// A number that a process gave out, with the incarnation of that process.
///
/// Each process counts from 1, so a number alone also fits a message of an earlier process of
/// the same node. What leaves a process to come back in a reply or a report is therefore a serial
/// (see [docs/design/large.md](../../../../docs/design/large.md)).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "SerialRow", from = "SerialRow")]
pub struct Serial {
    /// The process that gave it out.
    pub process: Incarnation,
    /// The number, unique in that process.
    pub number: u64,
}

/// The fields of a [`Serial`] in order.
type SerialRow = (Incarnation, u64);

impl Serial {
    /// Creates the serial of a number that `process` gives out.
    #[must_use]
    pub const fn new(process: Incarnation, number: u64) -> Self {
        Self { process, number }
    }

    /// The number, if `process` gave it out.
    #[must_use]
    pub fn number_of(self, process: Incarnation) -> Option<u64> {
        (self.process == process).then_some(self.number)
    }
}

impl From<Serial> for SerialRow {
    fn from(serial: Serial) -> Self {
        (serial.process, serial.number)
    }
}

impl From<SerialRow> for Serial {
    fn from((process, number): SerialRow) -> Self {
        Self { process, number }
    }
}
