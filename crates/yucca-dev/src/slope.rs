//! Slopes: what one more shard, target, ticket or message costs, measured on this machine.

mod lane;
mod log;
mod own;
mod probe;

use std::fmt;

use serde::Serialize;

/// One measured slope.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What is measured.
    pub name: &'static str,
    /// The figure.
    pub value: f64,
    /// The unit of the figure.
    pub unit: &'static str,
}

impl Slope {
    fn new(name: &'static str, value: f64, unit: &'static str) -> Self {
        Self { name, value, unit }
    }
}

/// Why slopes cannot be measured.
#[derive(Debug)]
pub enum Error {
    /// The resident memory of this process cannot be read.
    Resident(String),
    /// A message does not encode or decode.
    Codec(String),
    /// A name in the measured state is not valid.
    Name(String),
    /// A command had no effect on the measured state, so that its time would say nothing.
    NoEffect(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Resident(why) => write!(
                f,
                "/proc/self/statm: {why}; run this on Linux with /proc mounted"
            ),
            Self::Codec(why) => write!(f, "measured message: {why}; report this as a fault"),
            Self::Name(why) => write!(f, "measured state: {why}; report this as a fault"),
            Self::NoEffect(what) => write!(
                f,
                "{what}: the command had no effect; bring the measurement in line with the state"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Measures all slopes, one after the other.
///
/// # Errors
/// Fails where the process cannot read its resident memory, or where a measured command has no
/// effect.
pub fn measure() -> Result<Vec<Slope>, Error> {
    let mut slopes = own::measure()?;
    slopes.extend(lane::measure()?);
    slopes.extend(log::measure()?);
    Ok(slopes)
}
