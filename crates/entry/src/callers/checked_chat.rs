//! Parses and validates the body of a chat completion request, before anything is spent on it.

use derive_more::{Display, Error};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use upstream::engine::{ChatRequest, Message};

/// Most tokens that a caller may request for one answer.
pub(crate) const MAX_ANSWER_TOKENS: u64 = 32_768;
/// Token limit of an answer if the caller sets none.
const DEFAULT_ANSWER_TOKENS: u64 = 1_024;
/// Most messages in one request.
const MAX_MESSAGES: usize = 1_024;
/// Fields that the system sets itself and drops from callers' bodies: they would change the order in which engines
/// serve requests, or how an answer is resumed.
const SYSTEM_FIELDS: [&str; 5] = [
    "priority",
    "continue_final_message",
    "add_generation_prompt",
    "stream_options",
    "kv_transfer_params",
];
/// Fields that are rejected, because the answer would not be the plain text of one choice.
const UNSUPPORTED_FIELDS: [&str; 8] = [
    "tools",
    "tool_choice",
    "functions",
    "function_call",
    "logprobs",
    "top_logprobs",
    "audio",
    "modalities",
];

/// A validated chat completion request.
#[derive(Clone, Debug)]
pub(crate) struct CheckedChat {
    /// The request to send to engines.
    pub(crate) request: ChatRequest,
    /// Estimated length of the prompt, in tokens.
    pub(crate) prompt_tokens: u64,
}

/// Why a body is not a valid chat completion request.
#[derive(Debug, Display, Error)]
pub(crate) enum InvalidChat {
    /// The body is not a JSON object.
    #[display("the body is no chat completion request: {_0}")]
    Json(serde_json::Error),
    /// A field has the wrong type.
    #[display("{field}: {source}")]
    FieldType {
        /// Name of the field.
        field: &'static str,
        /// Why its value could not be deserialized.
        source: serde_json::Error,
    },
    /// A field has a value that is not allowed.
    #[display("{field}: {value} is not allowed, expected {allowed}")]
    FieldValue {
        /// Name of the field.
        field: &'static str,
        /// The value, as text.
        value: String,
        /// A description of the accepted values.
        allowed: String,
    },
}

#[derive(Deserialize)]
#[serde(expecting = "struct Said")]
struct RawMessage {
    role: String,
    content: RawContent,
}

#[derive(Deserialize)]
#[serde(untagged)]
#[serde(expecting = "data did not match any variant of untagged enum Content")]
enum RawContent {
    Text(String),
    Parts(Vec<TextPart>),
}

#[derive(Deserialize)]
struct TextPart {
    text: String,
}

impl CheckedChat {
    /// Parses and validates a caller's body.
    ///
    /// # Errors
    /// Returns the first field that is missing, has the wrong type or is out of range.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, InvalidChat> {
        let mut body: Map<String, Value> = serde_json::from_slice(bytes).map_err(InvalidChat::Json)?;
        let model: String = take_field(&mut body, "model")?.unwrap_or_default();
        require(!model.is_empty(), "model", &"nothing", "the name of a model")?;
        let messages: Vec<RawMessage> = take_field(&mut body, "messages")?.unwrap_or_default();
        let count = messages.len();
        require(
            (1..=MAX_MESSAGES).contains(&count),
            "messages",
            &count,
            format!("1 to {MAX_MESSAGES} messages"),
        )?;
        let choices: u64 = take_field(&mut body, "n")?.unwrap_or(1);
        require(choices == 1, "n", &choices, "1 choice")?;
        let newer_limit: Option<u64> = take_field(&mut body, "max_completion_tokens")?;
        let max_tokens = take_field(&mut body, "max_tokens")?
            .or(newer_limit)
            .unwrap_or(DEFAULT_ANSWER_TOKENS);
        require(
            (1..=MAX_ANSWER_TOKENS).contains(&max_tokens),
            "max_tokens",
            &max_tokens,
            format!("1 to {MAX_ANSWER_TOKENS}"),
        )?;
        let messages = messages
            .into_iter()
            .map(checked_message)
            .collect::<Result<Vec<_>, _>>()?;
        let words = |message: &Message| message.content.split_whitespace().count() as u64;
        let prompt_tokens = messages.iter().map(words).sum();
        require(
            messages.iter().any(|message| !message.content.is_empty()),
            "messages",
            &"no content",
            "a message that says something",
        )?;
        let request = ChatRequest {
            model,
            messages,
            max_tokens,
            stream: take_field(&mut body, "stream")?.unwrap_or_default(),
            add_generation_prompt: true,
            other: forwarded_fields(body)?,
            ..ChatRequest::default()
        };
        Ok(Self { request, prompt_tokens })
    }
}

/// Removes a field from the body and deserializes it; `null` counts as absent.
fn take_field<T: DeserializeOwned>(
    body: &mut Map<String, Value>,
    field: &'static str,
) -> Result<Option<T>, InvalidChat> {
    let value = body.remove(field).unwrap_or(Value::Null);
    serde_json::from_value(value).map_err(|source| InvalidChat::FieldType { field, source })
}

fn checked_message(message: RawMessage) -> Result<Message, InvalidChat> {
    require(
        matches!(message.role.as_str(), "system" | "developer" | "user" | "assistant"),
        "messages.role",
        &message.role,
        "system, developer, user or assistant",
    )?;
    let content = match message.content {
        RawContent::Text(text) => text,
        RawContent::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
    };
    Ok(Message {
        role: message.role,
        content,
    })
}

fn forwarded_fields(mut other: Map<String, Value>) -> Result<Map<String, Value>, InvalidChat> {
    for field in SYSTEM_FIELDS {
        other.remove(field);
    }
    for field in UNSUPPORTED_FIELDS {
        let is_set = other
            .get(field)
            .is_some_and(|value| !matches!(value, Value::Null | Value::Bool(false)));
        require(!is_set, field, &"a value", "the field to be left out")?;
    }
    Ok(other)
}

fn require(
    valid: bool,
    field: &'static str,
    value: &dyn std::fmt::Display,
    allowed: impl ToString,
) -> Result<(), InvalidChat> {
    if valid {
        return Ok(());
    }
    Err(InvalidChat::FieldValue {
        field,
        value: value.to_string(),
        allowed: allowed.to_string(),
    })
}
