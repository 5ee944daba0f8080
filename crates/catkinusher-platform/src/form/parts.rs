//! Splits JSON text at the commas of its outermost object or array.
//!
//! A page of the object API holds what many writers wrote. A decoder that takes a page as one
//! value fails it for one object with half of a character, a number out of range or deep nesting.
//! Here only brackets and quotes count, so that each object is decoded, and fails, by itself.

use serde::de::{DeserializeOwned, Error as _};

use super::decode;
use crate::error::{Bad, Error, Result};

/// The elements of an array, none of which need be valid JSON by itself.
///
/// # Errors
///
/// [`Bad::Body`] if the text is no array.
pub fn elements(text: &[u8]) -> Result<Vec<&[u8]>> {
    parts(text, b'[', b']').ok_or_else(|| malformed("not an array"))
}

/// The texts of an object's fields, the quoted name and the value of each; one without a name is left out.
///
/// # Errors
///
/// [`Bad::Body`] if the text is no object.
pub fn fields(text: &[u8]) -> Result<Vec<(&[u8], &[u8])>> {
    let fields = parts(text, b'{', b'}').ok_or_else(|| malformed("not an object"))?;
    Ok(fields.into_iter().filter_map(split_field).collect())
}

/// The text of a field of an object, if the object has it.
///
/// # Errors
///
/// [`Bad::Body`] if the text is no object.
pub fn field<'a>(text: &'a [u8], name: &str) -> Result<Option<&'a [u8]>> {
    let quoted = format!("\"{name}\"");
    let fields = fields(text)?;
    let found = fields
        .into_iter()
        .find(|(one, _)| *one == quoted.as_bytes());
    Ok(found.map(|(_, value)| value))
}

/// Decodes a field that an object must have.
///
/// # Errors
///
/// [`Bad::Body`] if the object lacks it or its value is of another type.
pub fn required<T>(text: &[u8], name: &str) -> Result<T>
where
    T: DeserializeOwned,
{
    decode(required_text(text, name)?)
}

/// The text of a field that an object must have.
///
/// # Errors
///
/// [`Bad::Body`] if the object lacks it.
pub fn required_text<'a>(text: &'a [u8], name: &str) -> Result<&'a [u8]> {
    field(text, name)?.ok_or_else(|| malformed(&format!("missing field `{name}`")))
}

/// The error for a body that is not as it has to be.
#[must_use]
pub fn malformed(what: &str) -> Error {
    Error::Bad(Bad::Body(serde_json::Error::custom(what)))
}

/// The text between the commas of the outermost brackets, or `None` if brackets or quotes do not match.
fn parts(text: &[u8], open: u8, close: u8) -> Option<Vec<&[u8]>> {
    let text = text.trim_ascii();
    let inner = text.strip_prefix(&[open])?.strip_suffix(&[close])?;
    let mut parts = Vec::new();
    let (mut from, mut depth) = (0, 0_usize);
    let (mut quoted, mut escaped) = (false, false);
    for (at, byte) in inner.iter().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = quoted,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            b',' if depth == 0 => {
                parts.push(inner[from..at].trim_ascii());
                from = at + 1;
            }
            _ => {}
        }
    }
    let last = inner[from..].trim_ascii();
    if !(parts.is_empty() && last.is_empty()) {
        parts.push(last);
    }
    (depth == 0 && !quoted).then_some(parts)
}

/// Splits a field into its quoted name and its value.
fn split_field(field: &[u8]) -> Option<(&[u8], &[u8])> {
    let quoted = field.strip_prefix(b"\"")?;
    let mut escaped = false;
    let is_end = |byte: &u8| match byte {
        _ if escaped => {
            escaped = false;
            false
        }
        b'\\' => {
            escaped = true;
            false
        }
        byte => *byte == b'"',
    };
    let end = quoted.iter().position(is_end)?;
    let (name, rest) = field.split_at(end + 2);
    let value = rest.trim_ascii_start().strip_prefix(b":")?;
    Some((name, value.trim_ascii()))
}
