//! Header filtering: which are forwarded, and which are stored for replay under an idempotency key.

use bytes::Bytes;
use catkinusher_core::claim::Header;
use http::header::{
    CONNECTION, CONTENT_TYPE, HeaderMap, LOCATION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderName, HeaderValue, Response};

use crate::front::answer;
use crate::front::reply::ResponseBody;

/// Headers that apply to a single connection.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The response headers that are stored for replay under an idempotency key.
const REPLAYED_HEADERS: [HeaderName; 2] = [CONTENT_TYPE, LOCATION];

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

pub(super) fn replayable_headers(headers: &HeaderMap) -> Vec<Header> {
    REPLAYED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = headers.get(name)?.to_str().ok()?;
            Some(Header {
                name: name.as_str().to_owned(),
                value: value.to_owned(),
            })
        })
        .collect()
}

pub(super) fn replay_response(
    status: u16,
    headers: &[Header],
    body: String,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from(body)));
    *response.status_mut() = answer::status_code(status);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
        .headers_mut()
        .insert("idempotency-replayed", HeaderValue::from_static("true"));
    response
}
