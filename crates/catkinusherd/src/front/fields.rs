//! The fields of a completion request that routing needs.
//!
//! A long prompt isn't buffered whole, so the fields are parsed from a prefix of
//! the JSON text: a truncated object is accepted as long as the model's name is
//! in the prefix.

use std::fmt;

use serde::Deserializer;
use serde::de::{DeserializeSeed, Error as _, IgnoredAny, MapAccess, Visitor};
use thiserror::Error;

/// The fields that matter to routing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields {
    /// The requested model.
    pub model: Option<String>,
    /// Whether the caller asks for a streamed response.
    pub stream: bool,
    /// The requested limit of output tokens.
    pub max_tokens: Option<u64>,
    /// Whether `prompt` or `messages` is present.
    pub has_prompt: bool,
}

/// Why the body of a completion request is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldsError {
    /// The body isn't JSON, or a field has the wrong type.
    #[error("the body is no completion request: {0}")]
    Malformed(String),
    /// `model` is missing.
    #[error("`model` is missing")]
    ModelMissing,
    /// `model` isn't in the buffered prefix of a large body.
    #[error("in a body of this size `model` must come before the prompt")]
    ModelLate,
    /// Both `prompt` and `messages` are missing.
    #[error("`prompt` or `messages` is missing")]
    PromptMissing,
}

/// Parses the fields from `text`: the whole body if `whole`, otherwise a prefix of it.
///
/// # Errors
///
/// [`FieldsError`] if the body is invalid, or its prefix has no `model`.
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
