//! Decodes JSON of which single values cannot be decoded.
//!
//! One number out of range or half of a character makes a decoder reject the whole text. For an
//! object whose parts are used by themselves, such as the configuration, only the value that
//! cannot be decoded is lost here: a placeholder with its text stands for it.

use serde_json::{Map, Number, Value, json};

use super::parts;

/// The only field of a placeholder.
const PLACEHOLDER: &str = "\u{0}undecodable";

/// The levels of arrays and objects that are looked into; a part of a configuration has about six.
const MAX_DEPTH: usize = 24;

/// The number of characters of a text that a placeholder keeps.
const MAX_TEXT: usize = 60;

/// The number of placeholders with a text in one value.
///
/// One takes some 700 bytes of heap for as little as two bytes of text, so a list of a megabyte of
/// them would take more memory than a small node has.
const MAX_PLACEHOLDERS: usize = 1000;

/// Decodes a text, with placeholders for the values that cannot be decoded.
///
/// Those after the first thousand are empty objects, which fit nowhere either.
#[must_use]
pub fn decode(text: &[u8]) -> Value {
    let mut left = MAX_PLACEHOLDERS;
    decode_within(text.trim_ascii(), MAX_DEPTH, &mut left)
}

/// The beginning of the text for which a placeholder stands.
#[must_use]
pub fn undecodable(value: &Value) -> Option<&str> {
    let fields = value.as_object().filter(|fields| fields.len() == 1)?;
    fields.get(PLACEHOLDER)?.as_str()
}

/// The finite number that is nearest to one that is out of range.
#[must_use]
pub fn nearest_number(text: &str) -> Option<Number> {
    let is_number = |byte| matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E');
    let number: f64 = text.bytes().all(is_number).then(|| text.parse().ok())??;
    Number::from_f64(number.clamp(f64::MIN, f64::MAX))
}

fn decode_within(text: &[u8], depth: usize, left: &mut usize) -> Value {
    if let Ok(value) = serde_json::from_slice(text) {
        return value;
    }
    let decoded = match depth.checked_sub(1) {
        Some(below) => decode_object(text, below, left).or_else(|| decode_array(text, below, left)),
        None => None,
    };
    decoded.unwrap_or_else(|| placeholder(text, left))
}

/// Decodes an object; a field without a name that can be decoded is left out.
fn decode_object(text: &[u8], depth: usize, left: &mut usize) -> Option<Value> {
    let fields = parts::fields(text).ok()?;
    let decoded: Map<String, Value> = fields
        .into_iter()
        .filter_map(|(name, value)| {
            let name = serde_json::from_slice(name).ok()?;
            Some((name, decode_within(value, depth, left)))
        })
        .collect();
    Some(Value::Object(decoded))
}

fn decode_array(text: &[u8], depth: usize, left: &mut usize) -> Option<Value> {
    let elements = parts::elements(text).ok()?;
    let decoded = elements
        .into_iter()
        .map(|element| decode_within(element, depth, left));
    Some(Value::Array(decoded.collect()))
}

fn placeholder(text: &[u8], left: &mut usize) -> Value {
    let Some(rest) = left.checked_sub(1) else {
        return Value::Object(Map::new());
    };
    *left = rest;
    // A character is at most four bytes long.
    let start = &text[..text.len().min(MAX_TEXT * 4)];
    let start: String = String::from_utf8_lossy(start)
        .chars()
        .take(MAX_TEXT)
        .collect();
    json!({ PLACEHOLDER: start })
}
