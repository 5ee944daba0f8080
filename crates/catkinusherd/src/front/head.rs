//! What a request's head says of its caller's wishes.

use std::time::Duration;

use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::Span;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, Request};

/// Names the time that the caller gives its request, in milliseconds.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout-ms");

/// Names a request that the caller may send again, as in the IETF draft.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Names a request towards callers and upstreams.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The bearer key of a request.
#[must_use]
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// How long the request may take: the caller's wish or the service's default.
///
/// # Errors
///
/// [`Refusal::BadTimeout`] for a wish that is no number, zero or over the cap.
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

/// Refuses heads whose fields two parties on a path might read in two ways; [`framed`](crate::framed) checks lengths.
///
/// # Errors
///
/// [`Refusal::BadHead`] names what is ambiguous.
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
