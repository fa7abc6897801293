//! `gentianctl key`: hashes bearer keys for contracts.

use std::io::Read;

use contract::KeyHash;

/// Longest key.
const MAX_KEY_BYTES: u64 = 4_096;
/// Shortest key; a shorter one could be guessed.
const MIN_KEY_BYTES: usize = 16;

/// Reads a key and returns its hash, as contracts hold it; a line break at the end isn't part of the key.
///
/// # Errors
/// Fails when the key can't be read, is too short or too long, or holds white space.
pub fn hash_key(input: impl Read) -> anyhow::Result<String> {
    let mut text = String::new();
    let read = input.take(MAX_KEY_BYTES + 1).read_to_string(&mut text);
    read.map_err(|error| anyhow::anyhow!("read the key from standard input: {error}"))?;
    let key = text.trim_end_matches(['\r', '\n']);
    anyhow::ensure!(
        (MIN_KEY_BYTES..=MAX_KEY_BYTES as usize).contains(&key.len()),
        "the key has {} bytes, expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES}",
        key.len()
    );
    // An HTTP header would cut or change a key with white space, so that it would never match its hash.
    anyhow::ensure!(
        key.bytes().all(|byte| byte.is_ascii_graphic()),
        "the key holds white space or characters outside ASCII, which an HTTP header can't carry"
    );
    Ok(KeyHash::of(key).to_string())
}
