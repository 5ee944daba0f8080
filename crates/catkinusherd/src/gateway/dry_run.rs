//! The endpoint that tells where a request would go, without sending it.

use bytes::Bytes;
use catkinusher_core::directory::Directory;
use catkinusher_core::dry_run::{self, Query};
use catkinusher_core::units::Tokens;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::json;
use thiserror::Error;

use super::clock;
use super::state::State;

/// The path of the endpoint.
pub(super) const PATH: &str = "/where";

/// The query that asks for the state itself, as CBOR.
const WHOLE_STATE: &str = "state";

/// The scheme before an API key.
///
/// The key is in a header, as URIs are written to logs.
const SCHEME: &str = "Bearer ";

/// Why there is no answer.
#[derive(Debug, Error)]
enum RequestError {
    #[error("parameter `{0}` is unknown; expected host, path, customer, prompt or answer")]
    UnknownParameter(String),
    #[error("parameter `{0}` is no text in UTF-8")]
    NoText(&'static str),
    #[error("parameter `{0}`: {1}")]
    BadCount(&'static str, String),
    #[error("parameter `{0}` is missing")]
    Missing(&'static str),
    #[error("this node has no configuration that was confirmed lately")]
    NoConfiguration,
    #[error("the API key belongs to no customer")]
    UnknownKey,
    #[error("{0}")]
    Query(#[from] dry_run::QueryError),
    #[error("the state cannot be encoded: {0}")]
    Encoding(String),
}

impl RequestError {
    const fn status(&self) -> StatusCode {
        match self {
            Self::UnknownParameter(_)
            | Self::NoText(_)
            | Self::BadCount(..)
            | Self::Missing(_)
            | Self::Query(dry_run::QueryError::NoCustomer(_)) => StatusCode::BAD_REQUEST,
            Self::UnknownKey | Self::Query(_) => StatusCode::NOT_FOUND,
            Self::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            Self::Encoding(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

fn parse(text: &str) -> Result<Query, RequestError> {
    let mut query = Query::default();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "host" => query.host = decode("host", value)?,
            "path" => query.path = decode("path", value)?,
            "customer" => query.customer = Some(decode("customer", value)?),
            "prompt" => query.prompt = count("prompt", value)?,
            "answer" => query.answer = count("answer", value)?,
            other => return Err(RequestError::UnknownParameter(other.to_owned())),
        }
    }
    for (name, value) in [("host", &query.host), ("path", &query.path)] {
        if value.is_empty() {
            return Err(RequestError::Missing(name));
        }
    }
    Ok(query)
}

fn decode(name: &'static str, value: &str) -> Result<String, RequestError> {
    let text = percent_decode_str(value).decode_utf8();
    text.map(String::from)
        .map_err(|_not_utf8| RequestError::NoText(name))
}

fn count(name: &'static str, value: &str) -> Result<Tokens, RequestError> {
    decode(name, value)?
        .parse()
        .map_err(|fault| RequestError::BadCount(name, format!("{fault}")))
}

/// Answers a request to the endpoint with a [`Report`](dry_run::Report) or the state, or with
/// the field `error`.
pub(super) fn respond<D, B>(state: &State<D>, request: &Request<B>) -> (StatusCode, Bytes) {
    match answer(state, request) {
        Ok(body) => (StatusCode::OK, body),
        Err(fault) => {
            let body = json!({"error": fault.to_string()});
            (fault.status(), body.to_string().into())
        }
    }
}

fn answer<D, B>(state: &State<D>, request: &Request<B>) -> Result<Bytes, RequestError> {
    let directory = state.view().directory.clone();
    let directory = directory
        .filter(|_| state.trusts_configuration())
        .ok_or(RequestError::NoConfiguration)?;
    let text = request.uri().query().unwrap_or_default();
    if text == WHOLE_STATE {
        let mut bytes = Vec::new();
        ciborium::into_writer(&copy(state, &directory), &mut bytes)
            .map_err(|fault| RequestError::Encoding(fault.to_string()))?;
        return Ok(bytes.into());
    }
    let mut query = parse(text)?;
    if query.customer.is_none() {
        query.customer = customer(&directory, request.headers())?;
    }
    let report = copy(state, &directory).report(&query)?;
    Ok(json!(report).to_string().into())
}

/// The customer with the API key in the head, if there is one.
fn customer(directory: &Directory, headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let header = headers.get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let Some(key) = header.and_then(|header| header.strip_prefix(SCHEME)) else {
        return Ok(None);
    };
    let customer = directory.customer(key).ok_or(RequestError::UnknownKey)?;
    Ok(Some(customer.name.as_str().to_owned()))
}

/// A copy of what this node decides by.
fn copy<D>(state: &State<D>, directory: &Directory) -> dry_run::State {
    // The locks are held one at a time, so that requests wait for one copy at most.
    let placer = state.placer().clone();
    let fleet = state.fleet().clone();
    let times = (state.now(), clock::boot_time());
    let settings = &state.settings;
    let (node, policy) = (settings.node.clone(), settings.placing.clone());
    let roster = state.roster();
    dry_run::State::new(node, directory, &roster, placer, fleet, policy, times)
}
