//! What a choice needs to know of a completion's body.
//!
//! A long prompt is not held whole, so the fields are read from however much
//! of the JSON text there is: an object that breaks off is fine as long as the
//! model's name stands in the part that came.

use std::fmt;

use serde::Deserializer;
use serde::de::{DeserializeSeed, Error as _, IgnoredAny, MapAccess, Visitor};
use thiserror::Error;

/// The fields that matter to a choice.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields {
    /// The model that the caller names.
    pub model: Option<String>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The longest answer that the caller wants, in tokens.
    pub max_tokens: Option<u64>,
    /// Whether a prompt or messages have been seen.
    pub has_prompt: bool,
}

/// What is wrong with the body of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldsError {
    /// The text is no JSON of this shape.
    #[error("the body is no completion request: {0}")]
    Malformed(String),
    /// `model` is missing.
    #[error("`model` is missing")]
    ModelMissing,
    /// `model` doesn't come early enough in a large body.
    #[error("in a body of this size `model` must come before the prompt")]
    ModelLate,
    /// Neither `prompt` nor `messages` is there.
    #[error("`prompt` or `messages` is missing")]
    PromptMissing,
}

/// Reads the fields from `text`, the whole body or its beginning.
///
/// # Errors
///
/// [`FieldsError`] says what is wrong.
pub fn read(text: &[u8], whole: bool) -> Result<Fields, FieldsError> {
    let mut fields = Fields::default();
    let mut reader = serde_json::Deserializer::from_slice(text);
    let outcome = Reader(&mut fields)
        .deserialize(&mut reader)
        .and_then(|()| reader.end());
    match outcome {
        Ok(()) => {}
        Err(error) if error.is_eof() && !whole => {}
        Err(error) => return Err(FieldsError::Malformed(error.to_string())),
    }
    if fields.model.is_none() {
        let missing = if whole {
            FieldsError::ModelMissing
        } else {
            FieldsError::ModelLate
        };
        return Err(missing);
    }
    if whole && !fields.has_prompt {
        return Err(FieldsError::PromptMissing);
    }
    Ok(fields)
}

struct Reader<'a>(&'a mut Fields);

impl<'de> DeserializeSeed<'de> for Reader<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Reader<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A>(self, mut map: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        let fields = self.0;
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "model" if fields.model.is_some() => {
                    return Err(A::Error::duplicate_field("model"));
                }
                "model" => fields.model = Some(map.next_value()?),
                "stream" => fields.stream = map.next_value::<Option<bool>>()?.unwrap_or(false),
                "max_tokens" | "max_completion_tokens" => fields.max_tokens = map.next_value()?,
                "messages" => {
                    fields.has_prompt = true;
                    let _messages: Vec<IgnoredAny> = map.next_value()?;
                }
                "prompt" => {
                    fields.has_prompt = true;
                    let _prompt: IgnoredAny = map.next_value()?;
                }
                _ => {
                    let _other: IgnoredAny = map.next_value()?;
                }
            }
        }
        Ok(())
    }
}
