//! A chat completion as a caller asks for it, checked whole before anything is spent on it.

use derive_more::{Display, Error};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use upstream::engine::{ChatRequest, Message};

/// Most tokens of one answer.
pub(crate) const MAX_TOKENS: u64 = 32_768;
/// Tokens of an answer whose caller names no bound.
const DEFAULT_TOKENS: u64 = 1_024;
/// Most messages of one conversation.
const MAX_MESSAGES: usize = 1_024;
/// Fields that would change the order in which engines serve requests, or how an answer is resumed. They follow from
/// the contract and the system alone, so a caller's are dropped.
const OURS: [&str; 5] = [
    "priority",
    "continue_final_message",
    "add_generation_prompt",
    "stream_options",
    "kv_transfer_params",
];
/// Fields whose answers would not be plain text from one choice.
const UNSUPPORTED: [&str; 8] = [
    "tools",
    "tool_choice",
    "functions",
    "function_call",
    "logprobs",
    "top_logprobs",
    "audio",
    "modalities",
];

/// A checked request.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// The request as it goes to engines.
    pub(crate) chat: ChatRequest,
    /// Expected length of the prompt, in tokens.
    pub(crate) prompt_tokens: u64,
}

/// Why a body is no request for a chat completion.
#[derive(Debug, Display, Error)]
pub(crate) enum BadAsk {
    /// It isn't a JSON object.
    #[display("the body is no chat completion request: {_0}")]
    Json(serde_json::Error),
    /// A field is of a wrong type.
    #[display("{field}: {source}")]
    Type {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A field has a value that isn't allowed.
    #[display("{field}: {value} is not allowed, expected {allowed}")]
    Field {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What would have been accepted.
        allowed: String,
    },
}

#[derive(Deserialize)]
struct Said {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<TextPart>),
}

#[derive(Deserialize)]
struct TextPart {
    text: String,
}

impl Ask {
    /// Reads and checks a caller's body.
    ///
    /// # Errors
    /// Names the first field that is missing, of a wrong type or out of range.
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, BadAsk> {
        let mut body: Map<String, Value> = serde_json::from_slice(bytes).map_err(BadAsk::Json)?;
        let model: String = take(&mut body, "model")?.unwrap_or_default();
        check(!model.is_empty(), "model", &"nothing", "the name of a model")?;
        let messages: Vec<Said> = take(&mut body, "messages")?.unwrap_or_default();
        let count = messages.len();
        check(
            (1..=MAX_MESSAGES).contains(&count),
            "messages",
            &count,
            format!("1 to {MAX_MESSAGES} messages"),
        )?;
        let n: u64 = take(&mut body, "n")?.unwrap_or(1);
        check(n == 1, "n", &n, "1 choice")?;
        let newer: Option<u64> = take(&mut body, "max_completion_tokens")?;
        let max_tokens = take(&mut body, "max_tokens")?.or(newer).unwrap_or(DEFAULT_TOKENS);
        check(
            (1..=MAX_TOKENS).contains(&max_tokens),
            "max_tokens",
            &max_tokens,
            format!("1 to {MAX_TOKENS}"),
        )?;
        let messages = messages.into_iter().map(message).collect::<Result<Vec<_>, _>>()?;
        let words = |message: &Message| message.content.split_whitespace().count() as u64;
        let prompt_tokens = messages.iter().map(words).sum();
        check(
            messages.iter().any(|message| !message.content.is_empty()),
            "messages",
            &"no content",
            "a message that says something",
        )?;
        let chat = ChatRequest {
            model,
            messages,
            max_tokens,
            stream: take(&mut body, "stream")?.unwrap_or_default(),
            add_generation_prompt: true,
            other: passed_on(body)?,
            ..ChatRequest::default()
        };
        Ok(Self { chat, prompt_tokens })
    }
}

/// Takes a field out; `null` counts as absent.
fn take<T: DeserializeOwned>(body: &mut Map<String, Value>, field: &'static str) -> Result<Option<T>, BadAsk> {
    let value = body.remove(field).unwrap_or(Value::Null);
    serde_json::from_value(value).map_err(|source| BadAsk::Type { field, source })
}

fn message(said: Said) -> Result<Message, BadAsk> {
    check(
        matches!(said.role.as_str(), "system" | "developer" | "user" | "assistant"),
        "messages.role",
        &said.role,
        "system, developer, user or assistant",
    )?;
    let content = match said.content {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
    };
    Ok(Message {
        role: said.role,
        content,
    })
}

fn passed_on(mut other: Map<String, Value>) -> Result<Map<String, Value>, BadAsk> {
    for field in OURS {
        other.remove(field);
    }
    for field in UNSUPPORTED {
        let given = other
            .get(field)
            .is_some_and(|value| !matches!(value, Value::Null | Value::Bool(false)));
        check(!given, field, &"a value", "the field to be left out")?;
    }
    Ok(other)
}

fn check(good: bool, field: &'static str, value: &dyn std::fmt::Display, allowed: impl ToString) -> Result<(), BadAsk> {
    if good {
        return Ok(());
    }
    Err(BadAsk::Field {
        field,
        value: value.to_string(),
        allowed: allowed.to_string(),
    })
}
