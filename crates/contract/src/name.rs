//! Names and numbers that identify things, each with a type of its own.

use derive_more::{AsRef, Display, From, Into};
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_NAME: usize = 128;

macro_rules! name {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Display, AsRef, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        #[as_ref(forward)]
        pub struct $name(String);

        impl $name {
            /// Gives the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Tells whether the name is non-empty, short enough and made of letters, digits and `-_.:/`.
            #[must_use]
            pub fn is_valid(&self) -> bool {
                is_name(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    )*};
}

name! {
    /// A customer: the party to one contract.
    CustomerId;
    /// An account of a customer; each has one bearer key.
    AccountName;
    /// A class of requests within a contract.
    ClassName;
    /// A host as the cloud names it.
    HostId;
    /// A zone: hosts that are reclaimed together.
    Zone;
    /// A data centre: entry hosts and upstreams that can be cut off together.
    DataCenter;
    /// An engine or service process on a host.
    UpstreamId;
    /// A model that engines serve.
    ModelName;
    /// A plain service that requests are passed to.
    ServiceName;
    /// A process of the system itself.
    NodeId;
    /// A caller's request, unique over all entry hosts.
    RequestId;
    /// An operator's change; resending the same id returns the first answer.
    ChangeId;
}

/// The position of a configuration change; it only grows.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Gives the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/');
    !text.is_empty() && text.len() <= MAX_NAME && text.chars().all(allowed)
}
