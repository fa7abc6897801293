//! Computes the fingerprints of requests.

use contract::Fingerprint;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::request::Request;

impl Request {
    /// Returns the fingerprint of the request, which is computed once.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let account = self.account.as_ref().map_or("", |account| &account.name);
            Fingerprint {
                account: xxh3_64(account.as_bytes()),
                content: self.hash_content(),
            }
        })
    }

    fn hash_content(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let start = &self.head.start;
        // Lengths keep the end of one part from being taken for the beginning of the next.
        for part in [&*start.method, &*start.target, &*self.body.bytes] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        // The key of the last part covers the whole prompt.
        let prompt = self.info.prompt_parts.last().map_or(0, |part| part.key);
        hasher.update(&prompt.to_le_bytes());
        hasher.digest()
    }
}
