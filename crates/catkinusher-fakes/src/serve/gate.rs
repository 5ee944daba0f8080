//! Faults of connections: silence, freeze and death.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::faults::LinkFaults;
use crate::lag::lock;

#[derive(Debug, Default)]
struct State {
    frozen: bool,
    /// Connections accepted so far; the next one has this number.
    accepted: u64,
    /// Connections of lower numbers are silent for good.
    cutoff: u64,
    /// Who waits for the end of a freeze.
    wakers: Vec<Waker>,
}

/// Whether a stand-in can be reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Life {
    /// Killed by its switch.
    dead: bool,
    /// Fallen of itself, until it has started again.
    down: bool,
    /// How often its connections were closed.
    pub(crate) deaths: u64,
}

impl Life {
    pub(crate) fn is_over(self) -> bool {
        self.dead || self.down
    }

    fn set(&mut self, dead: bool, down: bool) {
        let before = self.is_over();
        (self.dead, self.down) = (dead, down);
        self.deaths += u64::from(!before && self.is_over());
    }
}

/// What holds for the connections of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: Mutex<State>,
    life: watch::Sender<Life>,
}

impl Gate {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub(crate) fn apply(&self, faults: LinkFaults, silence: bool) {
        let mut state = self.state();
        state.frozen = faults.freeze;
        if silence {
            state.cutoff = state.accepted;
        }
        if !state.frozen {
            state.wakers.drain(..).for_each(Waker::wake);
        }
        drop(state);
        self.life
            .send_modify(|life| life.set(faults.dead, life.down));
    }

    /// Closes all connections and refuses new ones, or takes them again.
    pub(crate) fn set_down(&self, down: bool) {
        self.life.send_modify(|life| life.set(life.dead, down));
    }

    /// How often the stand-in died.
    pub(crate) fn deaths(&self) -> u64 {
        self.life.borrow().deaths
    }

    pub(crate) fn is_over(&self) -> bool {
        self.life.borrow().is_over()
    }

    pub(crate) fn watch_life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    fn number(&self) -> u64 {
        let mut state = self.state();
        state.accepted += 1;
        state.accepted - 1
    }

    /// Whether a connection makes no progress now; it is woken after a freeze.
    fn stalls(&self, number: u64, cx: &Context<'_>) -> bool {
        let mut state = self.state();
        if number < state.cutoff {
            return true;
        }
        if state.frozen {
            state.wakers.push(cx.waker().clone());
        }
        state.frozen
    }
}

/// Lets a connection that sets fault switches pass all of them.
#[derive(Debug, Default)]
pub(crate) struct Pass(AtomicBool);

impl Pass {
    pub(crate) fn exempt(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A connection through the gate.
#[derive(Debug)]
pub(crate) struct Link {
    stream: TcpStream,
    gate: Arc<Gate>,
    number: u64,
    pass: Arc<Pass>,
}

impl Link {
    pub(crate) fn new(stream: TcpStream, gate: Arc<Gate>) -> Self {
        let number = gate.number();
        Self {
            stream,
            gate,
            number,
            pass: Arc::default(),
        }
    }

    pub(crate) fn pass(&self) -> Arc<Pass> {
        Arc::clone(&self.pass)
    }

    fn stalls(&self, cx: &Context<'_>) -> bool {
        !self.pass.0.load(Ordering::Relaxed) && self.gate.stalls(self.number, cx)
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stalls(cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.stalls(cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.stalls(cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.stalls(cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
