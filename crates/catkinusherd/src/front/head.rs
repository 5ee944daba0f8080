//! Parsing and validation of request headers.

use std::time::Duration;

use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::Span;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, Request};

/// The timeout that the caller asks for, in milliseconds.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout-ms");

/// Identifies a request that the caller may repeat, as in the IETF draft on the Idempotency-Key header.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The request ID, sent to callers and upstreams.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The bearer token of the `Authorization` header.
#[must_use]
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// The request's timeout: the caller's, or the service's default bounded by the cap.
///
/// # Errors
///
/// [`Refusal::BadTimeout`] if the caller's value isn't a number, is zero or exceeds the cap.
pub fn timeout(headers: &HeaderMap, default: Span, cap: Span) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(default.get().min(cap.get()));
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|millis| *millis > 0);
    match millis.map(Duration::from_millis) {
        Some(requested) if requested <= cap.get() => Ok(requested),
        _ => Err(Refusal::BadTimeout { limit: cap }),
    }
}

/// Rejects duplicates of headers that two HTTP implementations on a path might resolve differently;
/// [`framed`](crate::framed) checks the message framing.
///
/// # Errors
///
/// [`Refusal::BadHead`] names the duplicate header.
pub fn check_duplicates<B>(request: &Request<B>) -> Result<(), Refusal> {
    let headers = request.headers();
    let fault = if headers.get_all(AUTHORIZATION).iter().count() > 1 {
        Some("Authorization stands twice")
    } else if headers.get_all(IDEMPOTENCY_KEY_HEADER).iter().count() > 1 {
        Some("Idempotency-Key stands twice")
    } else {
        None
    };
    fault.map_or(Ok(()), |detail| {
        Err(Refusal::BadHead {
            detail: detail.to_owned(),
        })
    })
}
