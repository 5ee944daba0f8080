//! Executes the object calls requested by the core's decision code.

use serde::Serialize;
use serde::de::DeserializeOwned;

use catkinusher_core::object::{Answer, Call, Version};

use crate::error::{Error, Result};
use crate::form::Form;

use super::Store;

impl<F> Store<F>
where
    F: Form,
{
    /// Executes a call on an object of `kind` and returns its outcome.
    ///
    /// An invalid response counts as lost, as it proves nothing about the write.
    pub async fn perform<V>(&self, kind: &str, call: Call<V>) -> Answer<V>
    where
        V: Serialize + DeserializeOwned,
    {
        match call {
            Call::Read { name } => answer(self.get(kind, &name).await, |found| match found {
                Some(object) => Answer::Found {
                    version: object.version,
                    value: object.value,
                },
                None => Answer::Missing,
            }),
            Call::Write {
                name,
                version,
                value,
            } => {
                let written = if version == Version::NONE {
                    self.create(kind, &name, &value).await
                } else {
                    self.update(kind, &name, &value, version).await
                };
                answer(written, |version| Answer::Written { version })
            }
            Call::Delete { name } => answer(self.delete(kind, &name, None).await, |_there| {
                Answer::Missing
            }),
        }
    }
}

fn answer<T, V, F>(outcome: Result<T>, done: F) -> Answer<V>
where
    F: FnOnce(T) -> Answer<V>,
{
    match outcome {
        Ok(value) => done(value),
        Err(Error::Conflict { .. }) => Answer::Conflict,
        Err(Error::Lost(_) | Error::Bad(_)) => Answer::Lost,
        Err(
            Error::Throttled { .. }
            | Error::Outage(_)
            | Error::Unsendable(_)
            | Error::Compacted { .. },
        ) => Answer::Away,
    }
}
