//! Wire formats of the object API.
//!
//! The client implements reads, conditional writes and watches; a [`Form`]
//! defines their paths, bodies and status codes, so that one client supports
//! every API of this family (see
//! [docs/PROTOCOLS.md](../../../../docs/PROTOCOLS.md)).

pub mod lenient;
mod native;
pub mod parts;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use catkinusher_core::object::{Era, Version};
use catkinusher_core::units;

use crate::error::{Bad, Error, Result, Unsendable};
use crate::store::{Listing, Object, Watched};

pub use native::Native;

/// The characters that are percent-encoded in a path segment or a query value.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Percent-encodes a kind or a name for a path or a query.
#[must_use]
pub fn escape(text: &str) -> impl std::fmt::Display {
    utf8_percent_encode(text, ESCAPED)
}

/// The precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object has exactly this version.
    At(Version),
}

/// An encoded call.
#[derive(Debug, Clone)]
pub struct Wire {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers in addition to those of the transport.
    pub headers: HeaderMap,
    /// The body, empty for a read.
    pub body: Bytes,
}

impl Wire {
    /// Creates a call without headers or body.
    #[must_use]
    pub fn bare(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

/// The wire format of an API of versioned objects.
pub trait Form: Debug + Clone + Send + Sync + 'static {
    /// The status of a write whose precondition failed.
    const CONFLICT: StatusCode;

    /// Encodes a read of one object.
    fn get(&self, kind: &str, name: &str) -> Wire;

    /// Encodes a read of a page of a kind: names that start with `prefix`, after the name `after`.
    fn list(&self, kind: &str, prefix: &str, after: Option<&str>) -> Wire;

    /// Encodes a watch of at most `wait` for changes of a kind after a version.
    fn watch(&self, kind: &str, after: Version, wait: Duration) -> Wire;

    /// Lets a read be answered with data that may be seconds old, if the platform offers it for a lower price.
    #[must_use]
    fn allow_stale(&self, wire: Wire) -> Wire {
        wire
    }

    /// The era of the store that a response names in its headers, if this API has eras.
    #[must_use]
    fn era(&self, _headers: &HeaderMap) -> Option<Era> {
        None
    }

    /// Encodes a write.
    ///
    /// # Errors
    ///
    /// If the value cannot be encoded or exceeds the API's size limit.
    fn put<T>(&self, kind: &str, name: &str, value: &T, condition: Condition) -> Result<Wire>
    where
        T: Serialize;

    /// Encodes a deletion.
    fn delete(&self, kind: &str, name: &str, condition: Condition) -> Wire;

    /// Decodes one object.
    ///
    /// # Errors
    ///
    /// If the body is not valid in this format.
    fn object<T>(&self, body: &[u8]) -> Result<Object<T>>
    where
        T: DeserializeOwned;

    /// Decodes a page of objects, and the name after which the next page starts, if any.
    ///
    /// # Errors
    ///
    /// If the body is not valid in this format.
    fn listing<T>(&self, body: &[u8]) -> Result<(Listing<T>, Option<String>)>
    where
        T: DeserializeOwned;

    /// Decodes the response to a watch.
    ///
    /// # Errors
    ///
    /// If the body is not valid in this format.
    fn watched<T>(&self, body: &[u8]) -> Result<Watched<T>>
    where
        T: DeserializeOwned;

    /// Decodes the version after a write, or the one that caused a conflict.
    ///
    /// # Errors
    ///
    /// If the body is not valid in this format.
    fn version(&self, body: &[u8]) -> Result<Version>;
}

/// Serializes a value as JSON.
///
/// # Errors
///
/// If it cannot be represented in JSON or is larger than `limit` bytes.
pub fn encode<T>(value: &T, limit: usize) -> Result<Bytes>
where
    T: Serialize,
{
    let body =
        serde_json::to_vec(value).map_err(|fault| Error::Unsendable(Unsendable::Form(fault)))?;
    if body.len() > limit {
        return Err(Error::Unsendable(Unsendable::Size {
            size: units::Bytes::new(body.len() as u64),
            limit: units::Bytes::new(limit as u64),
        }));
    }
    Ok(body.into())
}

/// Deserializes a value from JSON.
///
/// # Errors
///
/// [`Bad::Body`] if the body is not a valid value of type `T`.
pub fn decode<T>(body: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|fault| Error::Bad(Bad::Body(fault)))
}
