//! Secrets that clients of the operator, peer and announce listeners present.

use std::fmt;

use serde::Deserialize;
use subtle::ConstantTimeEq;

/// The scheme of the `authorization` header.
const SCHEME: &str = "Bearer ";

/// Header with the name of the operator who submits a ticket.
pub const SENDER_HEADER: &str = "yucca-sender";

/// Shared secret from the settings; its `Debug` output does not show the text.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns a secret with this text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the value of the `authorization` header that carries the secret.
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Returns whether an `authorization` header carries the secret, compared in constant time.
    ///
    /// An empty secret authorizes nothing.
    pub fn authorizes(&self, header: Option<&[u8]>) -> bool {
        let expected = self.header();
        let given = header.unwrap_or_default();
        !self.0.is_empty() && bool::from(expected.as_bytes().ct_eq(given))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
