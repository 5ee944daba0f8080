//! What a call to the platform can end in, told apart by what it proves.

use std::error::Error as StdError;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use catkinusher_core::object::Version;
use catkinusher_core::units::{Bytes, Span};

/// The outcome of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the platform gave no answer to build on.
#[derive(Debug, Error)]
pub enum Error {
    /// Another write came first; nothing was written.
    #[error("another write came first: {standing} stands there")]
    Conflict {
        /// The version that stands there, 0 if there is no object.
        standing: Version,
    },
    /// The platform or our own rate budget holds the call back; nothing was written.
    #[error("over the rate: free again in {}", Span::new(*after))]
    Throttled {
        /// How long to wait before another call.
        after: Duration,
    },
    /// The platform took nothing on; nothing was written.
    #[error("platform away: {0}")]
    Outage(Outage),
    /// The call was sent and no answer came: a write may have taken effect.
    #[error("no answer: {0}")]
    Lost(Lost),
    /// An answer came that is none of the protocol's: a write may have taken effect.
    #[error("bad answer: {0}")]
    Bad(Bad),
    /// The changes after a version are not kept any more; only a new list helps.
    #[error("the changes after {after} are gone")]
    Compacted {
        /// The version after which changes were asked for.
        after: Version,
    },
    /// The value cannot be sent; nothing was written.
    #[error("not sent: {0}")]
    Unsendable(Unsendable),
}

impl Error {
    /// Whether a write that ended so has provably changed nothing.
    #[must_use]
    pub const fn proves_not_written(&self) -> bool {
        match self {
            Self::Conflict { .. }
            | Self::Throttled { .. }
            | Self::Outage(_)
            | Self::Compacted { .. }
            | Self::Unsendable(_) => true,
            Self::Lost(_) | Self::Bad(_) => false,
        }
    }
}

/// How the platform showed that it took nothing on.
#[derive(Debug, Error)]
pub enum Outage {
    /// No connection came about, or it closed before the call left.
    #[error("no connection: {}", root_cause(.0))]
    Unreachable(#[source] hyper_util::client::legacy::Error),
    /// It answered that it is not in service.
    #[error("it answers 503")]
    Unavailable,
}

/// How an answer was lost.
#[derive(Debug, Error)]
pub enum Lost {
    /// Nothing came within the time of the call.
    #[error("none within {}", Span::new(*.0))]
    Timeout(Duration),
    /// The connection closed before the head of the answer.
    #[error("{}", root_cause(.0))]
    Closed(#[source] hyper_util::client::legacy::Error),
    /// The connection closed within the body of the answer.
    #[error("connection closed within the body")]
    Cut,
    /// The platform failed within the call.
    #[error("it answers {0}")]
    Failed(StatusCode),
}

/// What is wrong with an answer.
#[derive(Debug, Error)]
pub enum Bad {
    /// Its status is none that the call can have.
    #[error("status {0}")]
    Status(StatusCode),
    /// Its body is over the limit.
    #[error("body over {0} bytes")]
    Size(Bytes),
    /// Its body is not what the call should give.
    #[error("{0}")]
    Body(#[source] serde_json::Error),
}

/// Why a value cannot be sent.
#[derive(Debug, Error)]
pub enum Unsendable {
    /// It is larger than the platform holds.
    #[error("value of {size} bytes, limit {limit}")]
    Size {
        /// Its size as JSON.
        size: Bytes,
        /// The most that the platform holds.
        limit: Bytes,
    },
    /// It has no JSON form.
    #[error("value without JSON form: {0}")]
    Form(#[source] serde_json::Error),
    /// The kind, name and address make no URI.
    #[error("no URI: {0}")]
    Uri(#[source] http::Error),
}

/// The text of the first cause of a fault, which says more than its wrappings.
#[must_use]
pub fn root_cause<E>(fault: &E) -> String
where
    E: StdError,
{
    let Some(mut cause) = fault.source() else {
        return fault.to_string();
    };
    while let Some(deeper) = cause.source() {
        cause = deeper;
    }
    cause.to_string()
}
