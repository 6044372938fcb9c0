//! Newtypes of quantities: durations, sizes and rates.

use std::fmt;
use std::str;
use std::time;

use serde::{Deserialize, Serialize};

/// Units of a size, in decreasing order.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Reason that a text is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The text is not a duration.
    Span {
        /// The rejected text.
        text: String,
    },
    /// The text is not a size.
    Size {
        /// The rejected text.
        text: String,
    },
    /// The text is not a rate.
    Rate {
        /// The rejected text.
        text: String,
    },
    /// The text is neither yes nor no.
    Flag {
        /// The rejected text.
        text: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Span { text } => {
                write!(
                    f,
                    "{text:?} is not a span of time; write it as \"250ms\" or \"2s\""
                )
            }
            Self::Flag { text } => write!(f, "{text:?} is not a flag; write it as \"1\" or \"0\""),
            Self::Size { text } => {
                write!(
                    f,
                    "{text:?} is not a size; write it as \"64KiB\" or \"1MiB\""
                )
            }
            Self::Rate { text } => write!(f, "{text:?} is not a rate; write it as \"100/s\""),
        }
    }
}

impl std::error::Error for Error {}

macro_rules! as_text {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }
    };
}

/// Duration; its text form has a unit, such as `250ms`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub time::Duration);

as_text!(Span);

impl Span {
    /// Returns the duration of this number of milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

impl str::FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parsed = humantime::parse_duration(text);
        parsed
            .map(Self)
            .map_err(|_| Error::Span { text: text.into() })
    }
}

/// Size in bytes; its text form has a binary unit, such as `64KiB`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Size(pub u64);

as_text!(Size);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |unit: &&(&str, u64)| self.0 >= unit.1 && self.0.is_multiple_of(unit.1);
        match SIZE_UNITS.iter().find(fits) {
            Some((name, bytes)) => write!(f, "{}{name}", self.0 / bytes),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl str::FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || Error::Size { text: text.into() };
        let unit = SIZE_UNITS.iter().find(|(name, _)| text.ends_with(name));
        let (name, bytes) = unit.ok_or_else(malformed)?;
        let digits = text[..text.len() - name.len()].trim();
        let count: u64 = digits.parse().map_err(|_| malformed())?;
        count.checked_mul(*bytes).map(Self).ok_or_else(malformed)
    }
}

/// Rate in events per second; its text form is such as `100/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(pub f64);

as_text!(Rate);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || Error::Rate { text: text.into() };
        let digits = text.strip_suffix("/s").ok_or_else(malformed)?;
        let rate: f64 = digits.trim().parse().map_err(|_| malformed())?;
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(malformed())
        }
    }
}
