//! Identifies a part of a prompt, wherever in a prompt it stands.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Hash of the id that a caller gives a part of a prompt. Unlike the key of a cached part, it doesn't depend on the parts
/// before it.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct PartId(pub u64);
