//! The wire format of the project's own object API.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use catkinusher_core::object::Version;

use super::{Condition, Form, Wire, decode, encode, escape, parts};
use crate::error::{Error, Result};
use crate::store::{Event, Listing, Object, Unreadable, VALUE_LIMIT, Watched};

/// The native format: paths under `/v1`, versions as entity tags.
#[derive(Debug, Clone, Copy, Default)]
pub struct Native;

/// The response to a write, successful or conflicting.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Written {
    version: Version,
}

impl Form for Native {
    const CONFLICT: StatusCode = StatusCode::PRECONDITION_FAILED;

    fn get(&self, kind: &str, name: &str) -> Wire {
        Wire::bare(Method::GET, object_path(kind, name))
    }

    fn list(&self, kind: &str, prefix: &str, _after: Option<&str>) -> Wire {
        let path = format!("{}?prefix={}", kind_path(kind), escape(prefix));
        Wire::bare(Method::GET, path)
    }

    fn watch(&self, kind: &str, after: Version, wait: Duration) -> Wire {
        let path = format!(
            "/v1/watch/{}?after={}&timeout_ms={}",
            escape(kind),
            after.get(),
            wait.as_millis()
        );
        Wire::bare(Method::GET, path)
    }

    fn put<T>(&self, kind: &str, name: &str, value: &T, condition: Condition) -> Result<Wire>
    where
        T: Serialize,
    {
        let mut wire = Wire::bare(Method::PUT, object_path(kind, name));
        wire.body = encode(value, VALUE_LIMIT)?;
        let json = HeaderValue::from_static("application/json");
        wire.headers.insert(header::CONTENT_TYPE, json);
        wire.headers.extend(condition_header(condition));
        Ok(wire)
    }

    fn delete(&self, kind: &str, name: &str, condition: Condition) -> Wire {
        let mut wire = Wire::bare(Method::DELETE, object_path(kind, name));
        wire.headers.extend(condition_header(condition));
        wire
    }

    fn object<T>(&self, body: &[u8]) -> Result<Object<T>>
    where
        T: DeserializeOwned,
    {
        decode(body)
    }

    fn listing<T>(&self, body: &[u8]) -> Result<(Listing<T>, Option<String>)>
    where
        T: DeserializeOwned,
    {
        let version = parts::required(body, "version")?;
        let mut objects = Vec::new();
        let mut unreadable = Vec::new();
        for item in parts::elements(parts::required_text(body, "objects")?)? {
            match decode(item) {
                Ok(object) => objects.push(object),
                Err(error) => unreadable.push(unreadable_item(item, &error)),
            }
        }
        let listing = Listing {
            version,
            objects,
            unreadable,
        };
        // This API returns all objects of a kind in one page.
        Ok((listing, None))
    }

    fn watched<T>(&self, body: &[u8]) -> Result<Watched<T>>
    where
        T: DeserializeOwned,
    {
        let version = parts::required(body, "version")?;
        let mut events = Vec::new();
        let mut unreadable = Vec::new();
        for item in parts::elements(parts::required_text(body, "events")?)? {
            match decode(item) {
                Ok(event) => events.push(event),
                Err(error) => {
                    let item = unreadable_item(item, &error);
                    events.extend(item.name.clone().map(|name| Event {
                        name,
                        version,
                        value: None,
                    }));
                    unreadable.push(item);
                }
            }
        }
        Ok(Watched {
            version,
            events,
            unreadable,
        })
    }

    fn version(&self, body: &[u8]) -> Result<Version> {
        decode::<Written>(body).map(|written| written.version)
    }
}

fn unreadable_item(item: &[u8], error: &Error) -> Unreadable {
    Unreadable {
        name: parts::required(item, "name").ok(),
        reason: error.to_string(),
    }
}

fn condition_header(condition: Condition) -> Option<(HeaderName, HeaderValue)> {
    match condition {
        Condition::Any => None,
        Condition::Absent => Some((header::IF_NONE_MATCH, HeaderValue::from_static("*"))),
        Condition::At(version) => Some((header::IF_MATCH, tag(version))),
    }
}

/// Formats a version as an entity tag.
fn tag(version: Version) -> HeaderValue {
    HeaderValue::try_from(format!("\"{}\"", version.get())).expect("digits make a header value")
}

fn kind_path(kind: &str) -> String {
    format!("/v1/objects/{}", escape(kind))
}

fn object_path(kind: &str, name: &str) -> String {
    format!("{}/{}", kind_path(kind), escape(name))
}
