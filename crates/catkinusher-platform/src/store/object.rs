//! Responses of the object API.

use serde::{Deserialize, Serialize};

use catkinusher_core::object::{Era, Version};

/// A versioned object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Its name within its kind.
    pub name: String,
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: T,
}

impl<T> Object<T> {
    /// Places its version in an era, which its encoded form does not tell.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        self.version = self.version.in_era(era);
        self
    }
}

/// An object that could not be decoded; the other ones of its page hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// Its name, if that could be read.
    pub name: Option<String>,
    /// What is wrong with it.
    pub reason: String,
}

/// The objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// The version of the store when it was listed; a watch starts after it.
    pub version: Version,
    /// The objects, in the platform's order.
    pub objects: Vec<Object<T>>,
    /// The objects that could not be decoded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreadable: Vec<Unreadable>,
}

impl<T> Listing<T> {
    /// Places all versions in an era.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        self.version = self.version.in_era(era);
        for object in &mut self.objects {
            object.version = object.version.in_era(era);
        }
        self
    }
}

/// A change of an object, as reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event<T> {
    /// Its name within its kind.
    pub name: String,
    /// Its version after the change.
    pub version: Version,
    /// Its new value; `None` if it was deleted or cannot be read any more.
    pub value: Option<T>,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched<T> {
    /// The version after which the next watch starts.
    pub version: Version,
    /// The changes; empty if the wait timed out.
    pub events: Vec<Event<T>>,
    /// The objects that could not be decoded; those with a name are among the changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreadable: Vec<Unreadable>,
}

impl<T> Watched<T> {
    /// Places all versions in an era.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        self.version = self.version.in_era(era);
        for event in &mut self.events {
            event.version = event.version.in_era(era);
        }
        self
    }
}
