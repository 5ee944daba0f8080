//! Bodies and small pieces of HTTP that the stand-ins share.

use std::borrow::Cow;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use tokio::sync::mpsc;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum Body {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// Pieces follow; an error cuts the connection.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(pieces) => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer whose body is JSON.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("the stand-ins' answers have only text keys");
    let mut response = Response::new(Body::Whole(Full::new(bytes.into())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// An answer without a body.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::default()));
    *response.status_mut() = status;
    response
}

#[derive(Serialize)]
struct Reason<'a> {
    error: &'a str,
}

/// An answer that says what was wrong.
pub(crate) fn refuse(status: StatusCode, error: &str) -> Response<Body> {
    json(status, &Reason { error })
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_limited(body: Incoming, limit: usize) -> io::Result<Bytes> {
    let collected = Limited::new(body, limit).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(io::Error::other)
}

/// The text behind percent escapes.
pub(crate) fn unquote(text: &str) -> Cow<'_, str> {
    percent_decode_str(text).decode_utf8_lossy()
}

/// The query of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    pub(crate) fn new(uri: &'a http::Uri) -> Self {
        Self(uri.query().unwrap_or_default())
    }

    pub(crate) fn get(self, name: &str) -> Option<Cow<'a, str>> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| unquote(value))
    }

    pub(crate) fn number(self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}
