//! Keys that the operator, peer and announce listeners require.

use std::fmt;

use serde::Deserialize;
use subtle::ConstantTimeEq;

/// The scheme of the `authorization` header.
const SCHEME: &str = "Bearer ";

/// The header by which an operator states who sends a ticket.
pub const SENDER_HEADER: &str = "yucca-sender";

/// A shared secret from the settings.
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

    /// Tells, in constant time, whether an `authorization` header carries the secret.
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
