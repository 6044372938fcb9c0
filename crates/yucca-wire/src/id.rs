//! Newtypes of the names and numbers that identify things.

use std::fmt;
use std::num;
use std::str;
use std::sync;

use serde::{Deserialize, Serialize};

/// The most bytes of a name.
const MAX_NAME_BYTES: usize = 63;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A name has no character, or too many.
    Length {
        /// The rejected text.
        text: String,
    },
    /// A name holds a character other than `a-z`, `0-9`, `-` and `.`.
    Character {
        /// The rejected text.
        text: String,
        /// The first such character.
        character: char,
    },
    /// A number is malformed or out of range.
    Number {
        /// The rejected text.
        text: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length { text } => write!(
                f,
                "name {text:?} has {} bytes; use 1 to {MAX_NAME_BYTES}",
                text.len()
            ),
            Self::Character { text, character } => write!(
                f,
                "name {text:?} contains {character:?}; use a-z, 0-9, '-' and '.'"
            ),
            Self::Number { text } => write!(f, "{text:?} is not a number in range"),
        }
    }
}

impl std::error::Error for Error {}

impl From<num::ParseIntError> for Error {
    fn from(error: num::ParseIntError) -> Self {
        Self::Number {
            text: error.to_string(),
        }
    }
}

fn check_name(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Error::Length { text: text.into() });
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    match text.chars().find(|c| !allowed(*c)) {
        None => Ok(()),
        Some(character) => Err(Error::Character {
            text: text.into(),
            character,
        }),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl str::FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Ok(Self(text.parse()?))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

name!(
    /// A failure domain.
    Domain
);
name!(
    /// An entry host.
    Host
);
name!(
    /// A region, which holds failure domains.
    Region
);
name!(
    /// A service.
    Service
);
name!(
    /// A target.
    Target
);
number!(
    /// A shard of a service's keys.
    Shard,
    u32
);
number!(
    /// The number of a change ticket.
    Ticket,
    u64
);
number!(
    /// A version of a replicated state; it only rises.
    Version,
    u64
);
number!(
    /// The number of slots of a target: how many requests it works on at a time.
    Slots,
    u16
);

/// The id of one request: the caller's idempotency key, or one made at the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Request(pub u128);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for Request {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Ok(Self(u128::from_str_radix(text, 16)?))
    }
}

/// A fencing token. Tokens of one owner only rise; a target that checks tokens refuses a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token {
    /// The generation of the home domain: how often its shards were given to another domain.
    pub generation: u32,
    /// The version of the domain's log at which the grant was made.
    pub version: u64,
    /// Tells apart the grants made at one version.
    pub counter: u32,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.generation, self.version, self.counter)
    }
}

impl str::FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || Error::Number { text: text.into() };
        let (generation, rest) = text.split_once('.').ok_or_else(malformed)?;
        let (version, counter) = rest.split_once('.').ok_or_else(malformed)?;
        Ok(Self {
            generation: generation.parse()?,
            version: version.parse()?,
            counter: counter.parse()?,
        })
    }
}
