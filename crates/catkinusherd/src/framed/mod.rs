//! Detection of ambiguous message framing (request smuggling) on callers' connections.
//!
//! The HTTP library normalizes ambiguous heads before a service sees them, so
//! the raw bytes are scanned in parallel, by the core's [`Scanner`].

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use catkinusher_core::framing::Scanner;
use catkinusher_core::outcome::Refusal;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The framing state of the requests on one connection.
#[derive(Debug, Clone, Default)]
pub struct FramingCheck(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    scanner: Mutex<Scanner>,
    requests: AtomicU64,
}

impl FramingCheck {
    /// Advances to the next request of the connection, and checks its head.
    ///
    /// # Errors
    ///
    /// [`Refusal::BadHead`] if its head, or one before it, is ambiguous.
    pub fn check_next(&self) -> Result<(), Refusal> {
        let request = self.0.requests.fetch_add(1, Ordering::Relaxed);
        let scanner = self
            .0
            .scanner
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        scanner.ambiguity(request).map_or(Ok(()), |ambiguity| {
            Err(Refusal::BadHead {
                detail: ambiguity.to_string(),
            })
        })
    }

    fn push(&self, bytes: &[u8]) {
        let mut scanner = self
            .0
            .scanner
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        scanner.push(bytes);
    }
}

/// A caller's connection whose incoming bytes are scanned.
#[derive(Debug)]
pub struct ScannedStream {
    stream: TcpStream,
    framing: FramingCheck,
}

impl ScannedStream {
    /// Wraps a connection before its first byte is read.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, FramingCheck) {
        let framing = FramingCheck::default();
        let connection_check = framing.clone();
        (Self { stream, framing }, connection_check)
    }
}

impl AsyncRead for ScannedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        this.framing.push(&buf.filled()[before..]);
        polled
    }
}

impl AsyncWrite for ScannedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
