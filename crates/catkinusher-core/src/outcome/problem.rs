//! The problem document of RFC 9457 that callers get with a refusal.

use serde::{Deserialize, Serialize};

use crate::id::RequestId;
use crate::outcome::Outcome;

/// The content type of a [`Problem`].
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// A refusal or failure as the caller reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// A URN that names the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in a few words, the same each time.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The request, if one was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Seconds after which another try makes sense; also the `Retry-After` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}
