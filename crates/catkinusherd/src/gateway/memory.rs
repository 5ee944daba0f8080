//! Memory for the data that this node holds for callers and upstreams.
//!
//! The core's [`HeldMemory`] decides who gets memory. Data is held together
//! with its [`Permit`], which returns the memory when the last reference to the
//! data is dropped, also by the HTTP library.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use catkinusher_core::memory::{AnswerNumber, HeldMemory, Purpose};
use catkinusher_core::units;
use tokio::sync::Notify;

/// The part of the process's memory limit that held data may take, in percent.
///
/// The smallest nodes have 112 MB, of which held data takes 45 MB. An idle process uses about
/// 6 MB. The rest is for connections, which buffer up to 64 KiB each on top, and for gaps that the
/// allocator leaves between buffers of different sizes, at worst as much as the data.
const HELD_PERCENT: u64 = 40;

/// The largest step in which a buffer of unknown length grows, in bytes.
///
/// A buffer that doubles would hold up to twice its data.
const GROWTH_STEP: usize = 64 * 1024;

/// The memory of a node.
#[derive(Debug, Clone)]
pub(super) struct Memory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    held: Mutex<HeldMemory>,
    /// Notified when memory is given back.
    freed: Notify,
    answers: AtomicU64,
}

impl Memory {
    /// Creates the memory of a process with this limit.
    pub(super) fn new(limit: Option<units::Bytes>) -> Self {
        let bound = limit.map(|limit| units::Bytes::new(limit.get() / 100 * HELD_PERCENT));
        Self {
            shared: Arc::new(Shared {
                held: Mutex::new(HeldMemory::new(bound)),
                freed: Notify::new(),
                answers: AtomicU64::new(0),
            }),
        }
    }

    /// The bytes that are held.
    pub(super) fn held(&self) -> u64 {
        self.shared.lock().held().get()
    }

    /// A permit for nothing yet.
    pub(super) fn permit(&self) -> Permit {
        Permit {
            shared: Arc::clone(&self.shared),
            bytes: 0,
        }
    }

    /// An empty buffer for the body of a request.
    pub(super) fn body_buffer(&self) -> Buffer {
        self.buffer(Purpose::Body)
    }

    /// An empty buffer for an answer.
    pub(super) fn answer_buffer(&self) -> Buffer {
        let number = self.shared.answers.fetch_add(1, Ordering::Relaxed);
        self.buffer(Purpose::Answer(AnswerNumber::new(number)))
    }

    fn buffer(&self, purpose: Purpose) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            purpose,
            permit: self.permit(),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HeldMemory> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permission to hold a number of bytes; dropping it gives them back.
#[derive(Debug)]
pub(super) struct Permit {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Permit {
    /// Changes the number of bytes, and returns whether there was room.
    fn try_resize(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let amount = |bytes: usize| units::Bytes::new(bytes as u64);
        if bytes > self.bytes {
            let more = amount(bytes - self.bytes);
            if !self.shared.lock().try_take(purpose, more) {
                return false;
            }
        } else if bytes < self.bytes {
            let less = amount(self.bytes - bytes);
            self.shared.lock().give_back(less);
            self.shared.freed.notify_waiters();
        }
        self.bytes = bytes;
        true
    }

    /// Changes the number of bytes once there is room for the purpose, which may change meanwhile.
    pub(super) async fn resize<F>(&mut self, bytes: usize, purpose: F)
    where
        F: Fn() -> Purpose,
    {
        let shared = Arc::clone(&self.shared);
        loop {
            let mut freed = std::pin::pin!(shared.freed.notified());
            freed.as_mut().enable();
            if self.try_resize(purpose(), bytes) {
                return;
            }
            freed.await;
        }
    }

    /// Binds the permit to the data that it was taken for.
    pub(super) fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _permit: self,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.shared
                .lock()
                .give_back(units::Bytes::new(self.bytes as u64));
            self.shared.freed.notify_waiters();
        }
    }
}

/// Data and the permit to hold it.
struct HeldBytes {
    bytes: Vec<u8>,
    _permit: Permit,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body or an answer that is received; its capacity counts as held.
#[derive(Debug)]
pub(super) struct Buffer {
    bytes: Vec<u8>,
    purpose: Purpose,
    permit: Permit,
}

impl Buffer {
    /// The number of bytes received.
    pub(super) const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Makes room for more bytes, and returns whether there is memory.
    pub(super) fn try_reserve(&mut self, additional: usize) -> bool {
        let capacity = self.next_capacity(additional);
        let has_room = self.permit.try_resize(self.purpose, capacity);
        if has_room {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        has_room
    }

    /// Makes room for more bytes once there is memory.
    pub(super) async fn reserve(&mut self, additional: usize) {
        let capacity = self.next_capacity(additional);
        let purpose = self.purpose;
        self.permit.resize(capacity, || purpose).await;
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }

    /// The capacity that the buffer needs for more bytes.
    fn next_capacity(&self, additional: usize) -> usize {
        let len = self.bytes.len();
        let needed = len + additional;
        if needed <= self.permit.bytes {
            return self.permit.bytes;
        }
        needed.max(len + len.min(GROWTH_STEP))
    }

    /// Appends bytes for which room was made.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The received bytes, which hold their memory until the last reference is dropped.
    pub(super) fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if let Purpose::Answer(number) = self.purpose {
            // Another answer may be preferred only after the memory of this one is free.
            self.permit.try_resize(self.purpose, 0);
            self.permit.shared.lock().end_answer(number);
            self.permit.shared.freed.notify_waiters();
        }
    }
}
