//! Short, collision-resistant digests of bodies and keys.
//!
//! Callers choose bodies and idempotency keys, so the digest must resist an
//! attacker who searches for collisions; hence SHA-256, truncated to 16 bytes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The size of a fingerprint in bytes.
pub const FINGERPRINT_BYTES: usize = 16;

/// The error for a string that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint has 32 hexadecimal digits")]
pub struct ParseFingerprintError;

/// The digest of a sequence of parts, displayed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Stands for content that is not known, which no request holds.
    pub const UNKNOWN: Self = Self([0; FINGERPRINT_BYTES]);

    /// The fingerprint of these parts; different splits of the same bytes give different fingerprints.
    #[must_use]
    pub fn of<'a, I>(parts: I) -> Self
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let full = digest.finalize();
        let mut short = [0; FINGERPRINT_BYTES];
        short.copy_from_slice(&full[..FINGERPRINT_BYTES]);
        Self(short)
    }

    /// An evenly distributed hash value.
    #[must_use]
    pub fn spread(self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * FINGERPRINT_BYTES {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex(pair[0])? << 4 | hex(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn hex(digit: u8) -> Result<u8, ParseFingerprintError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        _ => Err(ParseFingerprintError),
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = ParseFingerprintError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}
