//! Responses that the daemon generates itself.

use bytes::Bytes;
use catkinusher_core::id::RequestId;
use catkinusher_core::outcome::{PROBLEM_CONTENT_TYPE, Refusal};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::head::REQUEST_HEADER;
use super::reply::ResponseBody;

/// Builds the problem document (RFC 9457) of a refusal or failure.
#[must_use]
pub fn problem(refusal: &Refusal, request: Option<&RequestId>) -> Response<ResponseBody> {
    let problem = refusal.problem(request);
    let mut response = json(status_code(problem.status), &problem);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_CONTENT_TYPE));
    if let Some(seconds) = problem.retry_after {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    set_request_id(&mut response, request);
    response
}

/// Builds a JSON response.
#[must_use]
pub fn json<T>(status: StatusCode, value: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("the daemon's own responses serialize to JSON");
    let mut response = Response::new(ResponseBody::full(bytes.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a plain-text response.
#[must_use]
pub fn text(status: StatusCode, line: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from_static(line.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Sets the `x-request-id` header of a response if the request has an ID.
pub fn set_request_id<B>(response: &mut Response<B>, request: Option<&RequestId>) {
    let value = request.and_then(|request| HeaderValue::from_str(request.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
}

/// Converts a status code, falling back to 500 if it is out of range.
#[must_use]
pub fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
