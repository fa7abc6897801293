//! What a prompt tells the choice of an engine: its blocks, and the conversation that it belongs to.

use policy::prefix::{Prefix, Session};
use upstream::engine::Message;
use xxhash_rust::xxh3::Xxh3;

const USER: &str = "user";
const ASSISTANT: &str = "assistant";

/// Hashes the blocks of a conversation as engines do, and finds its session.
#[must_use]
pub fn prefix(messages: &[Message]) -> Prefix {
    let prefix = Prefix::of(messages.iter().flat_map(words));
    match session(messages) {
        Some(session) => prefix.with_session(session),
        None => prefix,
    }
}

/// Identifies a conversation by everything up to its first question, which no later turn changes.
fn session(messages: &[Message]) -> Option<Session> {
    let first = messages.iter().position(|message| message.role == USER)?;
    let mut hash = Xxh3::new();
    for message in &messages[..=first] {
        // The lengths keep two messages apart from one that holds both.
        hash.update(&(message.content.len() as u64).to_le_bytes());
        hash.update(message.content.as_bytes());
    }
    let answered = messages.iter().rposition(|message| message.role == ASSISTANT);
    let begun = answered.map_or(0, |last| messages[..=last].iter().flat_map(words).count() as u64);
    let key = hash.digest();
    Some(Session {
        key,
        earlier_words: begun,
    })
}

fn words(message: &Message) -> impl Iterator<Item = &str> {
    message.content.split_whitespace()
}
