//! Reads a completion's body as it arrives and keeps only what is needed of it.
//!
//! The prompt's text is counted, hashed block by block and searched for the
//! poison marker, and then dropped, so that a prompt of a million tokens takes
//! no memory. What is left of the body, with empty strings in place of the
//! text, is small and goes through `serde_json`.

use catkinusher_core::units::Tokens;
use serde::Deserialize;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3Default;

use crate::batch::BLOCK_TOKENS;

/// Bytes of prompt text that the stand-in takes for a token.
pub const TOKEN_BYTES: u64 = 4;

/// Bytes of prompt text in a block of the prefix cache.
const BLOCK_BYTES: usize = (BLOCK_TOKENS * TOKEN_BYTES) as usize;

/// The largest body without its prompt text, in bytes.
const REST_LIMIT: usize = 1024 * 1024;

/// The deepest nesting of a body.
const DEPTH_LIMIT: usize = 64;

/// Why a body is no completion.
#[derive(Debug, Error)]
pub(super) enum ScanError {
    #[error("the body holds too much besides the prompt")]
    TooMuch,
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// What a completion asks for besides its prompt.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Ask {
    pub(super) model: Option<String>,
    pub(super) stream: bool,
    pub(super) max_tokens: Option<u64>,
}

/// What is kept of a prompt.
#[derive(Debug, Default)]
pub(super) struct Prompt {
    pub(super) bytes: u64,
    pub(super) blocks: Vec<u64>,
    pub(super) poisoned: bool,
}

impl Prompt {
    pub(super) fn tokens(&self) -> Tokens {
        Tokens::new(self.bytes.div_ceil(TOKEN_BYTES))
    }
}

/// The text of a prompt on its way through.
struct Text {
    prompt: Prompt,
    hasher: Xxh3Default,
    block: Vec<u8>,
    /// Where the marker may begin in the blocks before.
    tail: Vec<u8>,
    marker: Vec<u8>,
}

impl Text {
    fn push(&mut self, byte: u8) {
        self.prompt.bytes += 1;
        self.block.push(byte);
        if self.block.len() == BLOCK_BYTES {
            self.hasher.update(&self.block);
            self.prompt.blocks.push(self.hasher.digest());
            self.search();
        }
    }

    /// Looks for the marker in the block, and starts the next.
    fn search(&mut self) {
        if !self.marker.is_empty() {
            self.tail.append(&mut self.block);
            let mut places = self.tail.windows(self.marker.len());
            self.prompt.poisoned |= places.any(|place| place == self.marker);
            let kept = self.tail.len().min(self.marker.len() - 1);
            self.tail.drain(..self.tail.len() - kept);
        }
        self.block.clear();
    }
}

/// Where in the body the scan is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Outside of strings.
    Outside,
    /// In a string that is kept; whether the last byte escapes the next.
    Kept { escaped: bool },
    /// In the prompt's text.
    Prompt,
    /// After a backslash in the prompt's text.
    Escape,
    /// In a four-digit escape, with the digits so far.
    Unicode { value: u16, digits: u8 },
}

/// Takes a body piece by piece.
pub(super) struct Scan {
    text: Text,
    place: Place,
    /// The containers that are open; whether each is an array.
    open: Vec<bool>,
    /// Whether the next string is a value.
    value: bool,
    /// The last key.
    key: Vec<u8>,
    /// The first half of a surrogate pair.
    high: Option<u16>,
    rest: Vec<u8>,
}

impl Scan {
    pub(super) fn new(marker: Option<&str>) -> Self {
        let text = Text {
            prompt: Prompt::default(),
            hasher: Xxh3Default::new(),
            block: Vec::with_capacity(BLOCK_BYTES),
            tail: Vec::new(),
            marker: marker.unwrap_or_default().as_bytes().to_vec(),
        };
        Self {
            text,
            place: Place::Outside,
            open: Vec::new(),
            value: false,
            key: Vec::new(),
            high: None,
            rest: Vec::new(),
        }
    }

    pub(super) fn feed(&mut self, piece: &[u8]) -> Result<(), ScanError> {
        for byte in piece {
            self.step(*byte);
        }
        if self.rest.len() > REST_LIMIT || self.open.len() > DEPTH_LIMIT {
            return Err(ScanError::TooMuch);
        }
        Ok(())
    }

    pub(super) fn finish(mut self) -> Result<(Prompt, Ask), ScanError> {
        self.text.search();
        let ask = serde_json::from_slice::<Ask>(&self.rest)?;
        Ok((self.text.prompt, ask))
    }

    fn step(&mut self, byte: u8) {
        match self.place {
            Place::Outside => self.outside(byte),
            Place::Kept { escaped } => self.kept(byte, escaped),
            Place::Prompt => self.prompt(byte),
            Place::Escape => self.escape(byte),
            Place::Unicode { value, digits } => self.unicode(byte, value, digits),
        }
    }

    fn outside(&mut self, byte: u8) {
        self.rest.push(byte);
        let in_array = self.open.last() == Some(&true);
        match byte {
            b'{' | b'[' => {
                self.open.push(byte == b'[');
                self.value = byte == b'[';
            }
            b'}' | b']' => {
                self.open.pop();
            }
            b',' => self.value = in_array,
            b':' => self.value = true,
            b'"' if self.value && matches!(&*self.key, b"prompt" | b"content") => {
                self.place = Place::Prompt;
            }
            b'"' => {
                if !self.value {
                    self.key.clear();
                }
                self.place = Place::Kept { escaped: false };
            }
            _ => {}
        }
    }

    fn kept(&mut self, byte: u8, escaped: bool) {
        self.rest.push(byte);
        if byte == b'"' && !escaped {
            self.place = Place::Outside;
            return;
        }
        if !self.value {
            self.key.push(byte);
        }
        self.place = Place::Kept {
            escaped: byte == b'\\' && !escaped,
        };
    }

    fn prompt(&mut self, byte: u8) {
        match byte {
            b'"' => {
                self.rest.push(byte);
                self.place = Place::Outside;
            }
            b'\\' => self.place = Place::Escape,
            _ => self.text.push(byte),
        }
    }

    fn escape(&mut self, byte: u8) {
        self.place = Place::Prompt;
        match byte {
            b'u' => {
                self.place = Place::Unicode {
                    value: 0,
                    digits: 0,
                }
            }
            b'b' => self.text.push(8),
            b'f' => self.text.push(12),
            b'n' => self.text.push(b'\n'),
            b'r' => self.text.push(b'\r'),
            b't' => self.text.push(b'\t'),
            b'"' | b'\\' | b'/' => self.text.push(byte),
            _ => self.spoil(),
        }
    }

    fn unicode(&mut self, byte: u8, value: u16, digits: u8) {
        let Some(digit) = char::from(byte).to_digit(16) else {
            self.spoil();
            return;
        };
        let value = value << 4 | digit as u16;
        if digits < 3 {
            let digits = digits + 1;
            self.place = Place::Unicode { value, digits };
            return;
        }
        self.place = Place::Prompt;
        let units = self.high.take().into_iter().chain([value]);
        if self.high.is_none() && (0xD800..0xDC00).contains(&value) {
            self.high = Some(value);
            return;
        }
        for letter in char::decode_utf16(units) {
            let letter = letter.unwrap_or(char::REPLACEMENT_CHARACTER);
            let mut bytes = [0; 4];
            letter
                .encode_utf8(&mut bytes)
                .bytes()
                .for_each(|byte| self.text.push(byte));
        }
    }

    /// Leaves a byte that no JSON holds, for the parser to find.
    fn spoil(&mut self) {
        self.place = Place::Prompt;
        self.rest.push(0);
    }
}
