//! Derives the routing input from a prompt: its block hashes and the conversation that it belongs to.

use policy::prefix::{Prefix, Session};
use upstream::engine::Message;
use xxhash_rust::xxh3::Xxh3;

const USER: &str = "user";
const ASSISTANT: &str = "assistant";

/// Hashes the blocks of a prompt in the same way as engines do, and identifies its conversation.
#[must_use]
pub fn routing_prefix(messages: &[Message]) -> Prefix {
    let prefix = Prefix::of(messages.iter().flat_map(words));
    match conversation(messages) {
        Some(session) => prefix.with_session(session),
        None => prefix,
    }
}

/// Identifies a conversation by all messages up to the first one of the user, which no later turn changes.
fn conversation(messages: &[Message]) -> Option<Session> {
    let first = messages.iter().position(|message| message.role == USER)?;
    let mut hash = Xxh3::new();
    for message in &messages[..=first] {
        // Without the lengths, two messages would hash like one message with their joint content.
        hash.update(&(message.content.len() as u64).to_le_bytes());
        hash.update(message.content.as_bytes());
    }
    let answered = messages.iter().rposition(|message| message.role == ASSISTANT);
    let earlier = answered.map_or(0, |last| messages[..=last].iter().flat_map(words).count() as u64);
    let key = hash.digest();
    Some(Session {
        key,
        earlier_words: earlier,
    })
}

fn words(message: &Message) -> impl Iterator<Item = &str> {
    message.content.split_whitespace()
}
