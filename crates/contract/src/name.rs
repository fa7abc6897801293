//! Identifiers, each with a distinct type.

use derive_more::{AsRef, Display, From, Into};
use serde::{Deserialize, Serialize};

/// Longest valid name.
pub const MAX_NAME_BYTES: usize = 128;

macro_rules! name {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Display, AsRef, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        #[as_ref(forward)]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns whether the name is 1 to 128 bytes of ASCII letters, digits and `-_.:/`.
            #[must_use]
            pub fn is_valid(&self) -> bool {
                is_valid_name(&self.0)
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
    /// Name of a customer, the party to a contract.
    CustomerId;
    /// Name of an account of a customer; each account has one bearer key.
    AccountName;
    /// Name of a service class within a contract.
    ClassName;
    /// Name that the cloud gives a host; the cloud may reuse it.
    HostId;
    /// Name of a zone, whose hosts the cloud reclaims together.
    Zone;
    /// Name of a data centre, whose entry hosts and upstreams a network partition can cut off together.
    DataCenter;
    /// Name of an engine or service process on a host.
    UpstreamId;
    /// Name of a model that engines serve.
    ModelName;
    /// Name of a plain service that requests are forwarded to.
    ServiceName;
    /// Name of one of gentianspring's own processes.
    NodeId;
    /// Id of a caller's request, unique over all entry hosts.
    RequestId;
    /// Idempotency id of an operator's change; a resend with the same id returns the first response.
    ChangeId;
}

/// The position of a configuration change; it increases by one with each change.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}
