//! The RFC 9457 problem document that callers receive with a refusal.

use serde::{Deserialize, Serialize};

use crate::id::RequestId;
use crate::outcome::Outcome;

/// The content type of a [`Problem`].
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// A refusal or failure as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// A URN that identifies the problem type.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short summary of the problem type, the same for each occurrence.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// A description of this occurrence.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The request, if one was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Seconds after which a retry is useful; also sent as the `Retry-After` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}
