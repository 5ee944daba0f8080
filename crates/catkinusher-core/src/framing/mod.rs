//! Detects HTTP/1.1 requests with ambiguous framing on a connection.
//!
//! If two parties on a path interpret a request's length differently, they see
//! different requests (request smuggling). HTTP libraries resolve such heads
//! before a service sees them, so the scanner inspects the raw bytes
//! ([RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3)).

use std::fmt;

/// The maximum length of a buffered line, in bytes; the HTTP library refuses heads far below it.
const LINE_LIMIT: usize = 256 * 1024;

/// Why the framing of a request is ambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ambiguity {
    /// More than one `Content-Length` header.
    DuplicateLength,
    /// Both a `Content-Length` and a `Transfer-Encoding` header.
    LengthAndEncoding,
    /// More than one `Transfer-Encoding` header.
    DuplicateEncoding,
}

impl fmt::Display for Ambiguity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DuplicateLength => "Content-Length stands twice",
            Self::LengthAndEncoding => "both Content-Length and Transfer-Encoding stand there",
            Self::DuplicateEncoding => "Transfer-Encoding stands twice",
        })
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Head {
    started: bool,
    lengths: u32,
    encodings: u32,
    length: Option<u64>,
}

impl Head {
    const fn ambiguity(&self) -> Option<Ambiguity> {
        if self.lengths > 1 {
            Some(Ambiguity::DuplicateLength)
        } else if self.lengths > 0 && self.encodings > 0 {
            Some(Ambiguity::LengthAndEncoding)
        } else if self.encodings > 1 {
            Some(Ambiguity::DuplicateEncoding)
        } else {
            None
        }
    }

    fn on_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            let value = std::str::from_utf8(line[colon + 1..].trim_ascii());
            self.length = value.ok().and_then(|value| value.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.encodings += 1;
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum State {
    Head(Head),
    /// This many bytes of the body are still to come.
    Body(u64),
    ChunkSize,
    /// This many bytes of the chunk are still to come.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    /// The boundaries of the following requests are unknown.
    Opaque,
}

/// Tracks request boundaries in the bytes of one connection.
#[derive(Debug, Clone)]
pub struct Scanner {
    state: State,
    line: Vec<u8>,
    requests: u64,
    found: Option<(u64, Ambiguity)>,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            state: State::Head(Head::default()),
            line: Vec::new(),
            requests: 0,
            found: None,
        }
    }
}

impl Scanner {
    /// Scans the next bytes of the connection.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Opaque => return,
                State::Body(left) | State::Chunk(left) => self.skip(left, bytes),
                State::Head(_) | State::ChunkSize | State::ChunkEnd | State::Trailer => {
                    self.read_line(bytes)
                }
            };
        }
    }

    /// The ambiguity of a request or of an earlier one; requests are counted from zero.
    #[must_use]
    pub fn ambiguity(&self, request: u64) -> Option<Ambiguity> {
        self.found
            .filter(|(found, _)| *found <= request)
            .map(|(_, ambiguity)| ambiguity)
    }

    fn skip<'a>(&mut self, left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let taken = left.min(bytes.len() as u64);
        let rest = left - taken;
        self.state = match self.state {
            State::Chunk(_) if rest == 0 => State::ChunkEnd,
            State::Chunk(_) => State::Chunk(rest),
            _ if rest == 0 => State::Head(Head::default()),
            _ => State::Body(rest),
        };
        &bytes[taken as usize..]
    }

    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let taken = end.unwrap_or(bytes.len());
        self.line.extend_from_slice(&bytes[..taken]);
        if self.line.len() > LINE_LIMIT {
            self.state = State::Opaque;
            return &[];
        }
        let Some(end) = end else {
            return &[];
        };
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        self.state = self.next_state(&line);
        line.clear();
        self.line = line;
        &bytes[end + 1..]
    }

    /// The state after a complete line.
    fn next_state(&mut self, line: &[u8]) -> State {
        match self.state {
            State::Head(mut head) => {
                if !head.started {
                    head.started = !line.is_empty();
                    return State::Head(head);
                }
                if line.is_empty() {
                    return self.on_head_end(head);
                }
                head.on_field(line);
                State::Head(head)
            }
            State::ChunkSize => match chunk_size(line) {
                Some(0) => State::Trailer,
                Some(size) => State::Chunk(size),
                None => State::Opaque,
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            State::Trailer if line.is_empty() => State::Head(Head::default()),
            State::Trailer => State::Trailer,
            State::ChunkEnd | State::Body(_) | State::Chunk(_) | State::Opaque => State::Opaque,
        }
    }

    fn on_head_end(&mut self, head: Head) -> State {
        let request = self.requests;
        self.requests += 1;
        if let Some(ambiguity) = head.ambiguity() {
            self.found = Some((request, ambiguity));
            return State::Opaque;
        }
        match (head.encodings, head.lengths, head.length) {
            (0, 0, _) | (0, _, Some(0)) => State::Head(Head::default()),
            (0, _, Some(length)) => State::Body(length),
            // The HTTP library refuses a length that is not a number.
            (0, _, None) => State::Opaque,
            _ => State::ChunkSize,
        }
    }
}

/// Parses the size line of a chunk, which may end in extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let text = std::str::from_utf8(&line[..digits.count()]).ok()?;
    u64::from_str_radix(text, 16).ok()
}
