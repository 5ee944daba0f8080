//! A tarpc transport: one CBOR value in each binary WebSocket message.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::traffic::CountingStream;

/// Maximum size of a message in either direction, in bytes.
///
/// A platform object has at most one megabyte, and peers exchange nothing larger.
pub const MESSAGE_LIMIT: usize = 2 << 20;

/// The WebSocket settings of both ends.
#[must_use]
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
        .read_buffer_size(16 << 10)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * MESSAGE_LIMIT)
}

/// Serializes `value` as CBOR.
///
/// # Errors
///
/// An I/O error of kind `InvalidData` if the value cannot be represented in CBOR.
pub fn encode<T>(value: &T) -> io::Result<Bytes>
where
    T: Serialize,
{
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer).map_err(invalid)?;
    Ok(buffer.into())
}

/// Deserializes a value from CBOR.
///
/// # Errors
///
/// An I/O error of kind `InvalidData` if the bytes are not a valid value of type `T`.
pub fn decode<T>(bytes: &[u8]) -> io::Result<T>
where
    T: DeserializeOwned,
{
    ciborium::from_reader(bytes).map_err(invalid)
}

fn invalid<E>(error: E) -> io::Error
where
    E: std::fmt::Display,
{
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

fn broken<E>(error: E) -> io::Error
where
    E: std::fmt::Display,
{
    io::Error::new(io::ErrorKind::BrokenPipe, error.to_string())
}

/// A WebSocket as a tarpc transport that yields `In` and takes `Out`.
#[derive(Debug)]
pub struct Wire<In, Out> {
    socket: WebSocketStream<CountingStream>,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Wire<In, Out> {
    /// Wraps a socket whose ends have authenticated each other.
    #[must_use]
    pub const fn new(socket: WebSocketStream<CountingStream>) -> Self {
        Self {
            socket,
            types: PhantomData,
        }
    }
}

impl<In, Out> Stream for Wire<In, Out>
where
    In: DeserializeOwned,
{
    type Item = io::Result<In>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let message = match self.socket.poll_next_unpin(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(broken(error)))),
                Poll::Ready(Some(Ok(message))) => message,
            };
            match message {
                Message::Binary(bytes) => return Poll::Ready(Some(decode(&bytes))),
                Message::Close(_) => return Poll::Ready(None),
                // tungstenite answers pings itself; the protocol has no text messages.
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
                Message::Text(_) => return Poll::Ready(Some(Err(invalid("unexpected text")))),
            }
        }
    }
}

impl<In, Out> Sink<Out> for Wire<In, Out>
where
    Out: Serialize,
{
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_ready_unpin(cx).map_err(broken)
    }

    fn start_send(mut self: Pin<&mut Self>, item: Out) -> io::Result<()> {
        let bytes = encode(&item)?;
        self.socket
            .start_send_unpin(Message::Binary(bytes))
            .map_err(broken)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_flush_unpin(cx).map_err(broken)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_close_unpin(cx).map_err(broken)
    }
}
