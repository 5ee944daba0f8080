//! Where the requests on a connection begin and end, and whether that is plain.
//!
//! Two parties on a path that read a request's length in two ways see two
//! different requests. HTTP libraries settle such heads before a service sees
//! them, so they are watched for in the bytes themselves
//! ([RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3)).

use std::fmt;

/// The longest line that is held, in bytes; the HTTP library refuses heads long before.
const LINE_LIMIT: usize = 256 * 1024;

/// What makes a head ambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ambiguity {
    /// More than one `Content-Length`.
    DuplicateLength,
    /// Both `Content-Length` and `Transfer-Encoding`.
    LengthAndEncoding,
    /// More than one `Transfer-Encoding`.
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
    codings: u32,
    length: Option<u64>,
}

impl Head {
    const fn ambiguity(&self) -> Option<Ambiguity> {
        if self.lengths > 1 {
            Some(Ambiguity::DuplicateLength)
        } else if self.lengths > 0 && self.codings > 0 {
            Some(Ambiguity::LengthAndEncoding)
        } else if self.codings > 1 {
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
            self.codings += 1;
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Part {
    Head(Head),
    /// So many bytes of a body, or of a chunk, are to come.
    Body(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    /// What follows cannot be told apart.
    Opaque,
}

/// Follows the requests on one connection by their bytes.
#[derive(Debug, Clone)]
pub struct Scanner {
    part: Part,
    line: Vec<u8>,
    heads: u64,
    found: Option<(u64, Ambiguity)>,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            part: Part::Head(Head::default()),
            line: Vec::new(),
            heads: 0,
            found: None,
        }
    }
}

impl Scanner {
    /// Takes in the next bytes of the connection.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Opaque => return,
                Part::Body(left) | Part::Chunk(left) => self.skip(left, bytes),
                Part::Head(_) | Part::ChunkSize | Part::ChunkEnd | Part::Trailer => {
                    self.gather(bytes)
                }
            };
        }
    }

    /// The ambiguity of a request, counted from zero, or of one before it.
    #[must_use]
    pub fn ambiguity(&self, request: u64) -> Option<Ambiguity> {
        self.found
            .filter(|(found, _)| *found <= request)
            .map(|(_, ambiguity)| ambiguity)
    }

    fn skip<'a>(&mut self, left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let taken = left.min(bytes.len() as u64);
        let rest = left - taken;
        self.part = match self.part {
            Part::Chunk(_) if rest == 0 => Part::ChunkEnd,
            Part::Chunk(_) => Part::Chunk(rest),
            _ if rest == 0 => Part::Head(Head::default()),
            _ => Part::Body(rest),
        };
        &bytes[taken as usize..]
    }

    fn gather<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let taken = end.unwrap_or(bytes.len());
        self.line.extend_from_slice(&bytes[..taken]);
        if self.line.len() > LINE_LIMIT {
            self.part = Part::Opaque;
            return &[];
        }
        let Some(end) = end else {
            return &[];
        };
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        self.part = self.after(&line);
        line.clear();
        self.line = line;
        &bytes[end + 1..]
    }

    /// What follows a whole line.
    fn after(&mut self, line: &[u8]) -> Part {
        match self.part {
            Part::Head(mut head) => {
                if !head.started {
                    head.started = !line.is_empty();
                    return Part::Head(head);
                }
                if line.is_empty() {
                    return self.on_head(head);
                }
                head.on_field(line);
                Part::Head(head)
            }
            Part::ChunkSize => match chunk_size(line) {
                Some(0) => Part::Trailer,
                Some(size) => Part::Chunk(size),
                None => Part::Opaque,
            },
            Part::ChunkEnd if line.is_empty() => Part::ChunkSize,
            Part::Trailer if line.is_empty() => Part::Head(Head::default()),
            Part::Trailer => Part::Trailer,
            Part::ChunkEnd | Part::Body(_) | Part::Chunk(_) | Part::Opaque => Part::Opaque,
        }
    }

    fn on_head(&mut self, head: Head) -> Part {
        let request = self.heads;
        self.heads += 1;
        if let Some(ambiguity) = head.ambiguity() {
            self.found = Some((request, ambiguity));
            return Part::Opaque;
        }
        match (head.codings, head.lengths, head.length) {
            (0, 0, _) | (0, _, Some(0)) => Part::Head(Head::default()),
            (0, _, Some(length)) => Part::Body(length),
            // The library refuses a length that is no number.
            (0, _, None) => Part::Opaque,
            _ => Part::ChunkSize,
        }
    }
}

/// The size that opens a chunk; extensions may follow it.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let text = std::str::from_utf8(&line[..digits.count()]).ok()?;
    u64::from_str_radix(text, 16).ok()
}
