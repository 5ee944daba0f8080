//! Counts the bytes exchanged between this node and its peers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The total traffic on all connections to peers so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Totals {
    /// Bytes written to the sockets, without TCP and IP headers.
    pub sent: u64,
    /// Bytes read from the sockets.
    pub received: u64,
    /// Writes to the sockets, each at least one packet.
    pub writes: u64,
}

/// The counters of one node, shared by all its connections to peers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    writes: AtomicU64,
}

impl Traffic {
    /// Returns the current totals.
    #[must_use]
    pub fn totals(&self) -> Totals {
        Totals {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct CountingStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountingStream {
    /// Counts the bytes of `stream` into `traffic`.
    #[must_use]
    pub const fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.traffic
            .received
            .fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &polled {
            self.traffic
                .sent
                .fetch_add(*count as u64, Ordering::Relaxed);
            self.traffic.writes.fetch_add(1, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
