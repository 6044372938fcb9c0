//! Paths of the entries that a delta removes, such as `owners/desk/17`.

use std::fmt::Write;

use bytes::Bytes;

use super::Error;

/// Returns the path of a key's pin, with the key in hexadecimal digits.
pub fn pin(section: &str, service: &impl std::fmt::Display, key: &[u8]) -> String {
    let mut path = format!("{section}/{service}/");
    for byte in key {
        // Writing to a string does not fail.
        let _ = write!(path, "{byte:02x}");
    }
    path
}

/// Parses a key from hexadecimal digits.
pub fn key(digits: &str) -> Option<Bytes> {
    let pair = |at: usize| u8::from_str_radix(digits.get(at..at + 2)?, 16).ok();
    (0..digits.len()).step_by(2).map(pair).collect()
}

/// Returns the error for a malformed path.
pub fn malformed(path: &str) -> Error {
    Error::Path { path: path.into() }
}

/// Splits a path into its section, its name, and the rest if there is one.
pub fn split(path: &str) -> Option<(&str, &str, Option<&str>)> {
    let mut parts = path.splitn(3, '/');
    Some((parts.next()?, parts.next()?, parts.next()))
}
