//! How the calls of the object API are spelled on the wire.
//!
//! The client knows what a read, a conditional write and a watch mean; a
//! [`Form`] knows their paths, their bodies and which status says what. One
//! client so serves every API of this family (see
//! [docs/PROTOCOLS.md](../../../../docs/PROTOCOLS.md)).

mod native;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use catkinusher_core::object::Version;
use catkinusher_core::units;

use crate::error::{Bad, Error, Result, Unsendable};
use crate::store::{Listing, Object, Watched};

pub use native::Native;

/// What is escaped in a name within a path or a query.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Escapes a kind or a name for a path or a query.
#[must_use]
pub fn escape(text: &str) -> impl std::fmt::Display {
    utf8_percent_encode(text, ESCAPED)
}

/// What must stand at a name for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Whatever stands there.
    Any,
    /// Nothing stands there.
    Absent,
    /// Exactly this version stands there.
    At(Version),
}

/// A call as it goes to the wire.
#[derive(Debug, Clone)]
pub struct Wire {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers beyond those of the transport.
    pub headers: HeaderMap,
    /// The body, empty for a read.
    pub body: Bytes,
}

impl Wire {
    /// A call without headers or body.
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

/// The spelling of one API of versioned objects.
pub trait Form: Debug + Clone + Send + Sync + 'static {
    /// The status of a write whose condition does not hold.
    const CONFLICT: StatusCode;

    /// A read of one object.
    fn get(&self, kind: &str, name: &str) -> Wire;

    /// A read of a page of a kind: names that begin with `prefix`, after the name `after`.
    fn list(&self, kind: &str, prefix: &str, after: Option<&str>) -> Wire;

    /// A wait of at most `wait` for changes of a kind after a version.
    fn watch(&self, kind: &str, after: Version, wait: Duration) -> Wire;

    /// A write.
    ///
    /// # Errors
    ///
    /// If the value has no form on the wire or is larger than the API holds.
    fn put<T>(&self, kind: &str, name: &str, value: &T, condition: Condition) -> Result<Wire>
    where
        T: Serialize;

    /// A removal.
    fn delete(&self, kind: &str, name: &str, condition: Condition) -> Wire;

    /// Decodes one object.
    ///
    /// # Errors
    ///
    /// If the body is none of this form.
    fn object<T>(&self, body: &[u8]) -> Result<Object<T>>
    where
        T: DeserializeOwned;

    /// Decodes a page of objects, and tells the name after which there are more.
    ///
    /// # Errors
    ///
    /// If the body is none of this form.
    fn listing<T>(&self, body: &[u8]) -> Result<(Listing<T>, Option<String>)>
    where
        T: DeserializeOwned;

    /// Decodes what a watch saw.
    ///
    /// # Errors
    ///
    /// If the body is none of this form.
    fn watched<T>(&self, body: &[u8]) -> Result<Watched<T>>
    where
        T: DeserializeOwned;

    /// Decodes the version that a write left, or that stands in its way.
    ///
    /// # Errors
    ///
    /// If the body is none of this form.
    fn version(&self, body: &[u8]) -> Result<Version>;
}

/// Writes a value as JSON.
///
/// # Errors
///
/// If it has no such form or is larger than `limit` bytes.
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

/// Reads a value from JSON.
///
/// # Errors
///
/// [`Bad::Body`] if it is another.
pub fn decode<T>(body: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|fault| Error::Bad(Bad::Body(fault)))
}
