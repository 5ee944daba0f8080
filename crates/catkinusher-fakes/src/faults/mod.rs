//! Fault switches, set from inside the process or over HTTP.
//!
//! Each stand-in has a struct of switches of its own, with those of its
//! connections ([`LinkFaults`]) among them. `POST /_faults` sets the switches
//! that it names, `GET /_faults` reads all of them. A dead or frozen stand-in
//! can't be reached over HTTP; its handle and a [`Control`] still can.

mod control;

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;
use tokio::sync::watch;

use crate::serve::Gate;

pub use control::Control;

/// Switches of a stand-in's connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LinkFaults {
    /// All connections are closed and new ones refused, as after a kill.
    pub dead: bool,
    /// Nothing is read or written, and time stands still, as after SIGSTOP.
    pub freeze: bool,
    /// Connections that were open when this was set go silent for good, new ones work.
    pub silent: bool,
    /// Each answer starts this much later, in milliseconds.
    pub delay_ms: u64,
}

/// The switches of one kind of stand-in.
pub trait Faults: Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// The switches of its connections.
    fn link(&self) -> LinkFaults;
}

/// Why switches can't be set over HTTP.
#[derive(Debug, Error)]
pub enum SwitchError {
    /// The body is no JSON, or a switch has another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The body is no object.
    #[error("expected an object of switches")]
    Shape,
    /// The stand-in has no switch of this name.
    #[error("no switch `{0}`")]
    Unknown(String),
}

/// The fault switches of one stand-in.
#[derive(Debug, Clone)]
pub struct Switches<F> {
    current: Arc<watch::Sender<F>>,
    gate: Arc<Gate>,
}

impl<F> Switches<F>
where
    F: Faults,
{
    pub(crate) fn new(faults: F) -> Self {
        let gate = Arc::new(Gate::default());
        gate.apply(faults.link(), false);
        Self {
            current: Arc::new(watch::Sender::new(faults)),
            gate,
        }
    }

    /// The switches as they stand.
    #[must_use]
    pub fn get(&self) -> F {
        self.current.borrow().clone()
    }

    /// Changes some switches.
    pub fn set<C>(&self, change: C)
    where
        C: FnOnce(&mut F),
    {
        let mut silence = false;
        self.current.send_modify(|faults| {
            let before = faults.link().silent;
            change(faults);
            silence = faults.link().silent && !before;
        });
        self.gate.apply(self.current.borrow().link(), silence);
    }

    /// Counts a switch down by one; answers whether it stood above zero.
    pub(crate) fn hit<C>(&self, counter: C) -> bool
    where
        C: FnOnce(&mut F) -> &mut u32,
    {
        self.take(|faults| {
            let counter = counter(faults);
            let hit = *counter > 0;
            *counter = counter.saturating_sub(1);
            hit
        })
    }

    /// Reads `faults` while it may be changed, for switches that count down.
    pub(crate) fn take<C, R>(&self, take: C) -> R
    where
        C: FnOnce(&mut F) -> R,
    {
        let mut taken = None;
        self.current.send_if_modified(|faults| {
            taken = Some(take(faults));
            false
        });
        taken.expect("the closure is always called")
    }

    /// Tells of changes, for a stand-in that waits for one.
    pub(crate) fn subscribe(&self) -> watch::Receiver<F> {
        self.current.subscribe()
    }

    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Sets the switches that a JSON object names.
    pub(crate) fn merge(&self, body: &[u8]) -> Result<(), SwitchError> {
        let Value::Object(named) = serde_json::from_slice(body)? else {
            return Err(SwitchError::Shape);
        };
        let mut all = serde_json::to_value(self.get())?;
        let fields = all.as_object_mut().ok_or(SwitchError::Shape)?;
        for (name, value) in named {
            if !fields.contains_key(&name) {
                return Err(SwitchError::Unknown(name));
            }
            fields.insert(name, value);
        }
        let faults = serde_json::from_value::<F>(all)?;
        self.set(|current| *current = faults);
        Ok(())
    }
}
