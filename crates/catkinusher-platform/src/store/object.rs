//! Objects as the object API answers them.

use serde::{Deserialize, Serialize};

use catkinusher_core::object::Version;

/// An object as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Its name within its kind.
    pub name: String,
    /// Its version.
    pub version: Version,
    /// What it holds.
    pub value: T,
}

/// The objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// The version of the store at the time, after which to watch.
    pub version: Version,
    /// The objects, in the platform's order.
    pub objects: Vec<Object<T>>,
}

/// A change of an object that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event<T> {
    /// Its name within its kind.
    pub name: String,
    /// Its version after the change.
    pub version: Version,
    /// What it holds now, or nothing if it was deleted.
    pub value: Option<T>,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched<T> {
    /// The version after which to go on.
    pub version: Version,
    /// The changes; none if the wait ran out.
    pub events: Vec<Event<T>>,
}
