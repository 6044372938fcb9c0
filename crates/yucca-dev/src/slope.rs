//! Slopes: the marginal cost of a shard, target, ticket or message, measured on this machine.

mod lane;
mod log;
mod own;
mod probe;

use std::fmt;

use serde::Serialize;

/// A measured slope.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Name of the measured cost.
    pub name: &'static str,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

impl Slope {
    fn new(name: &'static str, value: f64, unit: &'static str) -> Self {
        Self { name, value, unit }
    }
}

/// Why slopes can't be measured.
#[derive(Debug)]
pub enum Error {
    /// The resident memory of this process can't be read.
    Resident(String),
    /// A message or state can't be encoded or decoded.
    Codec(String),
    /// A name or ticket of the measured state is invalid.
    Name(String),
    /// A command had no effect on the measured state, so that its time is meaningless.
    NoEffect(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Resident(reason) => write!(
                f,
                "/proc/self/statm: {reason}; run this on Linux with /proc mounted"
            ),
            Self::Codec(reason) => write!(
                f,
                "measured message: {reason}; this is a bug, please report it"
            ),
            Self::Name(reason) => write!(
                f,
                "measured state: {reason}; this is a bug, please report it"
            ),
            Self::NoEffect(what) => write!(
                f,
                "{what}: the command had no effect; adapt the measurement to the current code"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Measures all slopes, one after the other.
///
/// # Errors
/// Fails if the process can't read its resident memory, a measured message or state can't be built,
/// or a measured command has no effect.
pub fn measure() -> Result<Vec<Slope>, Error> {
    let mut slopes = own::measure()?;
    slopes.extend(lane::measure()?);
    slopes.extend(log::measure()?);
    Ok(slopes)
}
