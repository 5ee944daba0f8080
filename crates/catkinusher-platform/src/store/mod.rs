//! The object API: versioned objects, conditional writes and watches.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use catkinusher_core::object::{Era, Version};

use crate::error::{Bad, Error, Lost, Result};
use crate::form::{Condition, Form, Native, Wire, lenient};
use crate::gate::{Gate, Priority};
use crate::transport::{Call, Transport};

mod object;
mod perform;

pub use object::{Event, Listing, Object, Unreadable, Watched};

/// The platform's size limit for a value, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Size limit of a response with one object: a value and its envelope.
const OBJECT_LIMIT: usize = VALUE_LIMIT + 64 * 1024;

/// Size limit of a response with many objects.
const LIST_LIMIT: usize = 32 * 1024 * 1024;

/// Size limit of a response with only a version.
const SHORT_LIMIT: usize = 64 * 1024;

/// A client of the object API; clones share connections and budget.
#[derive(Debug, Clone)]
pub struct Store<F = Native> {
    transport: Transport,
    priority: Priority,
    stale: bool,
    lenient: bool,
    form: F,
}

impl Store {
    /// Creates a client for the object API at `addrs`, with `timeout` for each call.
    ///
    /// If an address fails, the client switches to the next.
    ///
    /// # Panics
    ///
    /// Panics if `addrs` is empty; settings without an address are rejected earlier.
    #[must_use]
    pub fn new<A>(addrs: A, timeout: Duration, gate: Gate) -> Self
    where
        A: IntoIterator<Item = SocketAddr>,
    {
        Self::with_form(Native, addrs, timeout, gate)
    }
}

impl<F> Store<F>
where
    F: Form,
{
    /// Creates a client for an object API with the wire format `form`.
    ///
    /// # Panics
    ///
    /// Panics if `addrs` is empty; settings without an address are rejected earlier.
    #[must_use]
    pub fn with_form<A>(form: F, addrs: A, timeout: Duration, gate: Gate) -> Self
    where
        A: IntoIterator<Item = SocketAddr>,
    {
        let addrs = addrs.into_iter().collect::<Vec<_>>();
        assert!(!addrs.is_empty(), "the object API has an address");
        Self {
            transport: Transport::new(addrs, timeout, gate),
            priority: Priority::Configuration,
            stale: false,
            lenient: false,
            form,
        }
    }

    /// Returns a client that shares the connections and uses another priority.
    #[must_use]
    pub fn at(&self, priority: Priority) -> Self {
        Self {
            transport: self.transport.clone(),
            priority,
            stale: self.stale,
            lenient: self.lenient,
            form: self.form.clone(),
        }
    }

    /// Returns a client whose reads may be answered with data that is seconds old.
    #[must_use]
    pub fn stale(&self) -> Self {
        Self {
            stale: true,
            ..self.clone()
        }
    }

    /// Returns a client whose reads decode values as [`lenient::decode`] does, instead of
    /// leaving out an object of which any value cannot be decoded.
    #[must_use]
    pub fn lenient(&self) -> Self {
        Self {
            lenient: true,
            ..self.clone()
        }
    }

    /// Decodes a body; if that is not possible as it is, and reads are lenient, with placeholders.
    fn decode<T, D, C>(&self, body: &[u8], decode: D, is_complete: C) -> Result<T>
    where
        D: Fn(&[u8]) -> Result<T>,
        C: Fn(&T) -> bool,
    {
        let decoded = decode(body);
        if !self.lenient || decoded.as_ref().is_ok_and(is_complete) {
            return decoded;
        }
        let text = lenient::decode(body).to_string();
        decode(text.as_bytes())
    }

    /// The wire form of a read, by the consistency of this client.
    fn read(&self, wire: Wire) -> Wire {
        if self.stale {
            self.form.allow_stale(wire)
        } else {
            wire
        }
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any of [`Error`] but a conflict.
    pub async fn get<T>(&self, kind: &str, name: &str) -> Result<Option<Object<T>>>
    where
        T: DeserializeOwned,
    {
        let call = call(self.read(self.form.get(kind, name)), OBJECT_LIMIT);
        let reply = self.send(call).await?;
        match reply.status {
            StatusCode::OK => {
                let decode = |body: &[u8]| self.form.object(body);
                let object: Object<T> = self.decode(&reply.body, decode, |_| true)?;
                Ok(Some(object.in_era(reply.era)))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Reads all objects of a kind whose names start with `prefix`.
    ///
    /// The version is that of the first page, so that a watch after it misses
    /// no change that later pages may or may not show.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if a new era began between two pages; else any of [`Error`] but a
    /// conflict.
    pub async fn list<T>(&self, kind: &str, prefix: &str) -> Result<Listing<T>>
    where
        T: DeserializeOwned,
    {
        let (mut whole, mut more) = self.page(kind, prefix, None).await?;
        while let Some(after) = more {
            let (page, next) = self.page(kind, prefix, Some(&after)).await?;
            check_era(whole.version, page.version.era())?;
            whole.objects.extend(page.objects);
            whole.unreadable.extend(page.unreadable);
            more = next;
        }
        Ok(whole)
    }

    async fn page<T>(
        &self,
        kind: &str,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<(Listing<T>, Option<String>)>
    where
        T: DeserializeOwned,
    {
        let call = call(self.read(self.form.list(kind, prefix, after)), LIST_LIMIT);
        let reply = self.send(call).await?;
        match reply.status {
            StatusCode::OK => {
                let decode = |body: &[u8]| self.form.listing(body);
                let (listing, more): (Listing<T>, _) =
                    self.decode(&reply.body, decode, |(listing, _)| {
                        listing.unreadable.is_empty()
                    })?;
                Ok((listing.in_era(reply.era), more))
            }
            status => Err(unexpected(status)),
        }
    }

    /// Writes an object that must not exist yet, and returns its version.
    ///
    /// # Errors
    ///
    /// A conflict if it exists; else any of [`Error`].
    pub async fn create<T>(&self, kind: &str, name: &str, value: &T) -> Result<Version>
    where
        T: Serialize,
    {
        self.put(kind, name, value, Condition::Absent).await
    }

    /// Replaces exactly version `over` of an object, and returns its new version.
    ///
    /// # Errors
    ///
    /// A conflict if the object has another version, or if that is of an earlier era; else any of
    /// [`Error`].
    pub async fn update<T>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        over: Version,
    ) -> Result<Version>
    where
        T: Serialize,
    {
        self.put(kind, name, value, Condition::At(over)).await
    }

    /// Writes an object unconditionally, and returns its new version.
    ///
    /// # Errors
    ///
    /// Any of [`Error`] but a conflict.
    pub async fn replace<T>(&self, kind: &str, name: &str, value: &T) -> Result<Version>
    where
        T: Serialize,
    {
        self.put(kind, name, value, Condition::Any).await
    }

    /// Deletes an object, only at version `over` if given, and returns whether it existed.
    ///
    /// # Errors
    ///
    /// A conflict if the object has another version; else any of [`Error`].
    pub async fn delete(&self, kind: &str, name: &str, over: Option<Version>) -> Result<bool> {
        let condition = over.map_or(Condition::Any, Condition::At);
        let call = call(self.form.delete(kind, name, condition), SHORT_LIMIT);
        let reply = self.write(call, condition).await?;
        match reply.status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status if status == F::CONFLICT => Err(self.conflict(&reply)),
            status => Err(unexpected(status)),
        }
    }

    /// Waits at most `wait` for changes of a kind that are newer than `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the changes since `after` have been
    /// compacted, or if the store is in another era; else any of [`Error`] but a conflict.
    pub async fn watch<T>(&self, kind: &str, after: Version, wait: Duration) -> Result<Watched<T>>
    where
        T: DeserializeOwned,
    {
        let mut call = call(self.read(self.form.watch(kind, after, wait)), LIST_LIMIT);
        call.wait = wait;
        let reply = self.send(call).await?;
        check_era(after, reply.era)?;
        match reply.status {
            StatusCode::OK => {
                let decode = |body: &[u8]| self.form.watched(body);
                let watched: Watched<T> =
                    self.decode(&reply.body, decode, |watched| watched.unreadable.is_empty())?;
                Ok(watched.in_era(reply.era))
            }
            StatusCode::GONE => Err(Error::Compacted { after }),
            status => Err(unexpected(status)),
        }
    }

    async fn put<T>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        condition: Condition,
    ) -> Result<Version>
    where
        T: Serialize,
    {
        let call = call(self.form.put(kind, name, value, condition)?, SHORT_LIMIT);
        let reply = self.write(call, condition).await?;
        match reply.status {
            StatusCode::OK | StatusCode::CREATED => {
                let version = self.form.version(&reply.body)?;
                Ok(version.in_era(reply.era))
            }
            status if status == F::CONFLICT => Err(self.conflict(&reply)),
            status => Err(unexpected(status)),
        }
    }

    /// The newest era that the store has named, [`Era::NONE`] if it names none.
    #[must_use]
    pub fn era(&self) -> Era {
        self.transport.era()
    }

    /// Sends a call; the answer must not be of an earlier era than one before.
    ///
    /// A stale read may be answered by a copy that has not followed the store into its new era, and
    /// what a late answer confirms may be lost.
    async fn send(&self, call: Call) -> Result<Dated> {
        let reply = self.transport.send(call, self.priority).await?;
        let named = self.form.era(&reply.headers);
        let era = named.unwrap_or_else(|| self.era());
        if era < self.transport.on_era(era) {
            return Err(Error::Lost(Lost::OtherEra(era)));
        }
        Ok(Dated {
            status: reply.status,
            body: reply.body,
            era,
        })
    }

    /// Sends a write, whose condition holds only in the era of the version that it names.
    async fn write(&self, call: Call, condition: Condition) -> Result<Dated> {
        let Condition::At(version) = condition else {
            return self.send(call).await;
        };
        let standing = Version::NONE;
        if version.era() < self.era() {
            return Err(Error::Conflict { standing });
        }
        let reply = self.send(call).await?;
        if reply.era != version.era() && reply.status.is_success() {
            return Err(Error::Lost(Lost::OtherEra(reply.era)));
        }
        Ok(reply)
    }

    /// Builds a conflict error with the version reported by the platform.
    fn conflict(&self, reply: &Dated) -> Error {
        match self.form.version(&reply.body) {
            Ok(standing) => Error::Conflict {
                standing: standing.in_era(reply.era),
            },
            Err(fault) => fault,
        }
    }
}

/// A response, and the era of the store that gave it.
struct Dated {
    status: StatusCode,
    body: Bytes,
    era: Era,
}

/// Checks that an answer is of the same era as the version that it continues.
fn check_era(after: Version, era: Era) -> Result<()> {
    if after.era() == era {
        Ok(())
    } else {
        Err(Error::Compacted { after })
    }
}

fn call(wire: Wire, limit: usize) -> Call {
    Call {
        wire,
        limit,
        wait: Duration::ZERO,
    }
}

const fn unexpected(status: StatusCode) -> Error {
    Error::Bad(Bad::Status(status))
}
