//! The text of answers. It is a function of the prompt, so that any caller can verify a complete answer.

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Author of the message, such as `user` or `assistant`.
    pub role: String,
    /// Text; every word counts as one token.
    pub content: String,
}

/// A request for a chat completion; other fields of the `OpenAI` API are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Chat {
    /// Name of a loaded model or adapter.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Number of tokens to generate; tokens of a partial answer to continue do not count.
    #[serde(default = "default_tokens")]
    pub max_tokens: u64,
    /// Whether the answer is streamed token by token.
    #[serde(default)]
    pub stream: bool,
    /// Requests with lower numbers are scheduled first.
    #[serde(default)]
    pub priority: i32,
    /// Whether the last message is a partial answer to continue.
    #[serde(default)]
    pub continue_final_message: bool,
}

const fn default_tokens() -> u64 {
    16
}

/// Returns the token at a position of the answer to a prompt.
#[must_use]
pub fn token(prompt_id: u64, position: u64) -> String {
    let mut seed = [0; 16];
    seed[..8].copy_from_slice(&prompt_id.to_le_bytes());
    seed[8..].copy_from_slice(&position.to_le_bytes());
    format!("w{:05x} ", xxh3_64(&seed) & 0xf_ffff)
}

/// Returns the id of a conversation: the hash of its first user message.
#[must_use]
pub fn conversation(opening: &str) -> u64 {
    xxh3_64(opening.as_bytes())
}

/// Returns the id of the prompt (the hash of its messages) and the position at which generation starts: the number of
/// tokens in the partial answer that the last message holds if `continues_last`, else 0.
#[must_use]
pub fn continuation(messages: &[(String, String)], continues_last: bool) -> (u64, u64) {
    let (messages, start) = match messages.split_last() {
        Some((last, earlier)) if continues_last => (earlier, last.1.split_whitespace().count() as u64),
        _ => (messages, 0),
    };
    let text: Vec<String> = messages
        .iter()
        .map(|(role, content)| format!("{role}\n{content}\n"))
        .collect();
    (xxh3_64(text.concat().as_bytes()), start)
}

impl Chat {
    /// Returns the id of the prompt and the position at which generation starts.
    pub(crate) fn continuation(&self) -> (u64, u64) {
        let pairs: Vec<(String, String)> = self
            .messages
            .iter()
            .map(|message| (message.role.clone(), message.content.clone()))
            .collect();
        continuation(&pairs, self.continue_final_message)
    }

    /// Returns the id of the conversation, which all its turns share.
    pub(crate) fn conversation(&self) -> u64 {
        let opening = self.messages.iter().find(|message| message.role == "user");
        opening.map_or(0, |message| conversation(&message.content))
    }

    /// Returns the tokens of the prompt, a partial answer included.
    pub(crate) fn words(&self) -> Vec<&str> {
        self.messages
            .iter()
            .flat_map(|message| message.content.split_whitespace())
            .collect()
    }
}
