//! The text of a document with the places of its lines.

use std::ops::Range;

use super::fault::Line;

/// The most characters of a document that a fault repeats.
const FOUND_LIMIT: usize = 60;

/// A document's text.
#[derive(Debug)]
pub(super) struct Source<'a> {
    text: &'a str,
    breaks: Vec<usize>,
}

impl<'a> Source<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset).collect();
        Self { text, breaks }
    }

    /// The line that byte `offset` stands in.
    pub(super) fn line(&self, offset: usize) -> Line {
        let before = self.breaks.partition_point(|end| *end < offset);
        Line::new(before + 1)
    }

    /// The text of `span` on one line and not too long.
    pub(super) fn excerpt(&self, span: Range<usize>) -> String {
        let part = self.text.get(span).unwrap_or_default().trim();
        let line = part.lines().next().unwrap_or_default();
        if line.is_empty() {
            return "nothing".to_owned();
        }
        if line.len() == part.len() && line.chars().count() <= FOUND_LIMIT {
            return format!("`{line}`");
        }
        let short = line.chars().take(FOUND_LIMIT).collect::<String>();
        format!("`{short}...`")
    }
}
