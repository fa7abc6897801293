//! The text of answers: a function of the prompt, so that anybody can check a whole answer.

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A request for a chat completion; other fields of the convention are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Chat {
    /// The model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Most tokens of the answer, those of a begun one not counted.
    #[serde(default = "default_tokens")]
    pub max_tokens: u64,
    /// Whether tokens are sent one by one.
    #[serde(default)]
    pub stream: bool,
    /// Lower numbers are served first.
    #[serde(default)]
    pub priority: i32,
    /// The last message is an answer to be continued.
    #[serde(default)]
    pub continue_final_message: bool,
}

const fn default_tokens() -> u64 {
    16
}

/// Gives the token at a position of the answer to a prompt.
#[must_use]
pub fn token(prompt: u64, position: u64) -> String {
    let mut seed = [0; 16];
    seed[..8].copy_from_slice(&prompt.to_le_bytes());
    seed[8..].copy_from_slice(&position.to_le_bytes());
    format!("w{:05x} ", xxh3_64(&seed) & 0xf_ffff)
}

/// Gives the identity of a conversation by its first user message.
#[must_use]
pub fn conversation(opening: &str) -> u64 {
    xxh3_64(opening.as_bytes())
}

/// Splits a conversation into the prompt's identity and the number of tokens that were made already.
#[must_use]
pub fn continuation(messages: &[(String, String)], continues: bool) -> (u64, u64) {
    let (prompt, begun) = match messages.split_last() {
        Some((last, before)) if continues => (before, last.1.split_whitespace().count() as u64),
        _ => (messages, 0),
    };
    let text: Vec<String> = prompt
        .iter()
        .map(|(role, content)| format!("{role}\n{content}\n"))
        .collect();
    (xxh3_64(text.concat().as_bytes()), begun)
}

impl Chat {
    /// Gives the prompt's identity and the number of tokens that were made already.
    pub(crate) fn continuation(&self) -> (u64, u64) {
        let pairs: Vec<(String, String)> = self
            .messages
            .iter()
            .map(|message| (message.role.clone(), message.content.clone()))
            .collect();
        continuation(&pairs, self.continue_final_message)
    }

    /// Gives the identity of the conversation, which all its turns share.
    pub(crate) fn conversation(&self) -> u64 {
        let opening = self.messages.iter().find(|message| message.role == "user");
        opening.map_or(0, |message| conversation(&message.content))
    }

    /// Gives every token that must be prefilled.
    pub(crate) fn words(&self) -> Vec<&str> {
        self.messages
            .iter()
            .flat_map(|message| message.content.split_whitespace())
            .collect()
    }
}
