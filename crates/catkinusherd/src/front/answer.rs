//! Answers that the daemon itself gives.

use bytes::Bytes;
use catkinusher_core::id::RequestId;
use catkinusher_core::outcome::{PROBLEM_CONTENT_TYPE, Refusal};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::head::REQUEST_HEADER;
use super::reply::ResponseBody;

/// Answers a refusal or failure as a problem document.
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

/// Answers with a value as JSON.
#[must_use]
pub fn json<T>(status: StatusCode, value: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("answers of the daemon have a JSON form");
    let mut response = Response::new(ResponseBody::full(bytes.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Answers with a line of text.
#[must_use]
pub fn text(status: StatusCode, line: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from_static(line.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Notes the request's identity in an answer.
pub fn set_request_id<B>(response: &mut Response<B>, request: Option<&RequestId>) {
    let value = request.and_then(|request| HeaderValue::from_str(request.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
}

/// The status of this number, or 500 if there is none.
#[must_use]
pub fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
