//! Patches between two revisions; most changes touch a single place.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::Revision;

/// Replaces one contiguous range of a text that the receiver has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The revision that the patch applies to.
    #[serde(rename = "r")]
    pub base: Revision,
    /// The length in bytes of the prefix that is kept.
    #[serde(rename = "s")]
    pub start: u32,
    /// The length in bytes of the suffix that is kept.
    #[serde(rename = "e")]
    pub end: u32,
    /// The new text between them.
    #[serde(rename = "m")]
    pub middle: Arc<str>,
}

impl Patch {
    /// Creates the patch from `old`, the text of revision `base`, to `new`.
    #[must_use]
    pub fn between(base: Revision, old: &str, new: &str) -> Self {
        let same = |(a, b): &(u8, u8)| a == b;
        let mut start = old.bytes().zip(new.bytes()).take_while(same).count();
        while !(old.is_char_boundary(start) && new.is_char_boundary(start)) {
            start -= 1;
        }
        let (old_rest, new_rest) = (&old[start..], &new[start..]);
        let back = old_rest.bytes().rev().zip(new_rest.bytes().rev());
        let mut end = back.take_while(same).count();
        while !new.is_char_boundary(new.len() - end) || !old.is_char_boundary(old.len() - end) {
            end -= 1;
        }
        Self {
            base,
            start: start as u32,
            end: end as u32,
            middle: new[start..new.len() - end].into(),
        }
    }

    /// Applies the patch to `old`; `None` if it does not fit that text.
    #[must_use]
    pub fn apply(&self, old: &str) -> Option<Arc<str>> {
        let tail = old.len().checked_sub(self.end as usize)?;
        let head = old.get(..self.start as usize)?;
        if self.start as usize > tail {
            return None;
        }
        let mut text = String::with_capacity(head.len() + self.middle.len() + self.end as usize);
        text.push_str(head);
        text.push_str(&self.middle);
        text.push_str(old.get(tail..)?);
        Some(text.into())
    }
}
