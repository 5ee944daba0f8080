//! A minimal HTTP/1.1 server side and client side.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request that was read.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn parse_headers<'a, I>(lines: I) -> Vec<(String, String)>
where
    I: Iterator<Item = &'a str>,
{
    lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4)
}

/// Reads the next request of a connection; `buffer` holds what was read ahead.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = head_end(buffer) {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers = parse_headers(lines);
            let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
            let length: usize = length.unwrap_or(0);
            if buffer.len() >= end + length {
                let body = buffer[end..end + length].to_vec();
                buffer.drain(..end + length);
                return Some(Request {
                    method,
                    target,
                    headers,
                    body,
                });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// How a call of a client ended.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status, or 0 if there was no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub whole: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Whether it is a complete success with the signature of a server.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.whole && self.header("server-stamp").is_some()
    }

    /// The time that the answer asks the client to wait.
    pub fn retry_after(&self) -> Duration {
        let secs = self
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        Duration::from_secs_f64(secs.unwrap_or(0.2))
    }
}

/// Sends a request on a new channel, and reads its answer for `limit` at most.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let sent = Instant::now();
    if let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
        let _nodelay = stream.set_nodelay(true);
        return exchange(&mut stream, request, limit);
    }
    Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        whole: false,
        took: sent.elapsed(),
    }
}

/// Sends a request on a kept channel, and reads its answer for `limit` at most.
pub fn exchange(stream: &mut TcpStream, request: &[u8], limit: Duration) -> Answer {
    let sent = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        whole: false,
        took: Duration::ZERO,
    };
    if stream.write_all(request).is_ok() {
        read_answer(stream, &mut answer, sent + limit);
    }
    answer.took = sent.elapsed();
    answer
}

fn read_answer(stream: &mut TcpStream, answer: &mut Answer, until: Instant) {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        let _set = stream.set_read_timeout(Some(left));
        let ended = match stream.read(&mut chunk) {
            Ok(0) => true,
            Ok(count) => {
                bytes.extend_from_slice(&chunk[..count]);
                false
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => false,
            Err(_) => return,
        };
        if parse_answer(&bytes, answer, ended) || ended {
            return;
        }
    }
}

/// Parses what has come so far, and returns whether the answer is complete.
fn parse_answer(bytes: &[u8], answer: &mut Answer, ended: bool) -> bool {
    let Some(end) = head_end(bytes) else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    answer.status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = parse_headers(lines);
    let body = &bytes[end..];
    if answer.header("transfer-encoding").is_some() {
        let (decoded, whole) = decode_chunks(body);
        answer.body = decoded;
        answer.whole = whole;
    } else if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        answer.whole = body.len() >= length;
        answer.body = body[..length.min(body.len())].to_vec();
    } else {
        answer.whole = ended;
        answer.body = body.to_vec();
    }
    answer.whole
}

fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut decoded = Vec::new();
    while let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") {
        let size = String::from_utf8_lossy(&bytes[..end]).trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return (decoded, false);
        };
        if size == 0 {
            return (decoded, bytes.len() >= end + 4);
        }
        if bytes.len() < end + 2 + size + 2 {
            break;
        }
        decoded.extend_from_slice(&bytes[end + 2..end + 2 + size]);
        bytes = &bytes[end + 2 + size + 2..];
    }
    (decoded, false)
}
