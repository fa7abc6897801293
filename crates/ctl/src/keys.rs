//! `gentianctl key`.

use std::io::Read;

use contract::KeyHash;

/// Longest key, in bytes.
const MAX_KEY: u64 = 4_096;
/// Shortest key; shorter ones can be guessed.
const MIN_KEY: usize = 16;

/// Hashes the key that a reader gives.
///
/// # Errors
/// Fails when the key can't be read, is too short or too long, or holds white space.
pub fn hash(input: impl Read) -> anyhow::Result<String> {
    let mut text = String::new();
    let read = input.take(MAX_KEY + 1).read_to_string(&mut text);
    read.map_err(|error| anyhow::anyhow!("read the key from standard input: {error}"))?;
    let key = text.trim_end_matches(['\r', '\n']);
    anyhow::ensure!(
        (MIN_KEY..=MAX_KEY as usize).contains(&key.len()),
        "the key has {} bytes, expected {MIN_KEY} to {MAX_KEY}",
        key.len()
    );
    // A key with white space would be cut or changed on its way through an HTTP header, and never match its hash.
    anyhow::ensure!(
        key.bytes().all(|byte| byte.is_ascii_graphic()),
        "the key holds white space or characters outside ASCII, which an HTTP header can't carry"
    );
    Ok(KeyHash::of(key).to_string())
}
