//! Errors of calls to the platform, classified by what they prove.

use std::error::Error as StdError;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use catkinusher_core::object::{Era, Version};
use catkinusher_core::units::{Bytes, Span};

/// The outcome of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a call to the platform.
#[derive(Debug, Error)]
pub enum Error {
    /// The object's version did not match; nothing was written.
    #[error("another write came first: {standing} stands there")]
    Conflict {
        /// The current version, 0 if there is no object.
        standing: Version,
    },
    /// The platform or the local rate budget throttled the call; nothing was written.
    #[error("over the rate: free again in {}", Span::new(*after))]
    Throttled {
        /// How long to wait before the next call.
        after: Duration,
    },
    /// The platform did not accept the call; nothing was written.
    #[error("platform away: {0}")]
    Outage(Outage),
    /// The call was sent and its result is unknown: a write may have taken effect.
    #[error("no answer: {0}")]
    Lost(Lost),
    /// The response violates the protocol: a write may have taken effect.
    #[error("bad answer: {0}")]
    Bad(Bad),
    /// The changes after a version have been compacted; the caller has to list again.
    #[error("the changes after {after} are gone")]
    Compacted {
        /// The version after which changes were requested.
        after: Version,
    },
    /// The value cannot be sent; nothing was written.
    #[error("not sent: {0}")]
    Unsendable(Unsendable),
}

impl Error {
    /// Whether a write that failed with this error provably changed nothing.
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

/// How it is known that the platform did not accept a call.
#[derive(Debug, Error)]
pub enum Outage {
    /// No connection could be opened, or it closed before the call was sent.
    #[error("no connection: {}", root_cause(.0))]
    Unreachable(#[source] hyper_util::client::legacy::Error),
    /// The platform responded with 503.
    #[error("it answers 503")]
    Unavailable,
}

/// Why the result of a call is unknown.
#[derive(Debug, Error)]
pub enum Lost {
    /// The call timed out.
    #[error("none within {}", Span::new(*.0))]
    Timeout(Duration),
    /// The connection closed before the response head.
    #[error("{}", root_cause(.0))]
    Closed(#[source] hyper_util::client::legacy::Error),
    /// The connection closed within the response body.
    #[error("connection closed within the body")]
    Cut,
    /// The response is of an era that is over, or of another one than the condition of the write.
    #[error("it answers from era {0} of the store")]
    OtherEra(Era),
    /// The platform responded with a server error other than 503.
    #[error("it answers {0}")]
    Failed(StatusCode),
}

/// Why a response is invalid.
#[derive(Debug, Error)]
pub enum Bad {
    /// The status is not valid for the call.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body exceeds the size limit.
    #[error("body over {0} bytes")]
    Size(Bytes),
    /// The body does not have the expected format.
    #[error("{0}")]
    Body(#[source] serde_json::Error),
}

/// Why a value cannot be sent.
#[derive(Debug, Error)]
pub enum Unsendable {
    /// It exceeds the platform's size limit.
    #[error("value of {size} bytes, limit {limit}")]
    Size {
        /// The size of its JSON form.
        size: Bytes,
        /// The platform's size limit.
        limit: Bytes,
    },
    /// It cannot be represented in JSON.
    #[error("value without JSON form: {0}")]
    Form(#[source] serde_json::Error),
    /// The kind, name and address do not form a valid URI.
    #[error("no URI: {0}")]
    Uri(#[source] http::Error),
}

/// Returns the message of an error's root cause, which is more specific than its wrappers.
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
