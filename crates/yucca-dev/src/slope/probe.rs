//! Measures resident memory and time.

use std::fmt::Display;
use std::fs;
use std::str::FromStr;
use std::time;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;
/// Growth of resident memory in each of the two passes of a measurement, in bytes.
const GROWTH_BYTES: f64 = 48e6;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Result<f64, Error> {
    let text = fs::read_to_string("/proc/self/statm");
    let text = text.map_err(|error| Error::Resident(error.to_string()))?;
    let pages = text.split_whitespace().nth(1).unwrap_or_default();
    let pages = pages.parse::<f64>();
    let pages = pages.map_err(|error| Error::Resident(error.to_string()))?;
    Ok(pages * PAGE_BYTES)
}

/// Encodes a value as it is sent or stored.
pub fn encoded<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(value).map_err(|error| Error::Codec(error.to_string()))
}

/// Returns the resident memory of one copy of a value, in bytes.
///
/// # Errors
/// Fails if the value can't be encoded and decoded, or the memory can't be read.
pub fn memory_of<T: Serialize + DeserializeOwned>(value: &T) -> Result<f64, Error> {
    let encoded = encoded(value)?;
    memory_per_copy(|| {
        rmp_serde::from_slice::<T>(&encoded).map_err(|error| Error::Codec(error.to_string()))
    })
}

/// Returns the resident memory of one value made by `make`, in bytes.
///
/// Keeps copies in two passes. The first uses up memory that was freed before, until the process
/// has grown; the second measures the growth per copy.
///
/// # Errors
/// Fails if `make` fails or the memory can't be read.
pub fn memory_per_copy<T>(mut make: impl FnMut() -> Result<T, Error>) -> Result<f64, Error> {
    let mut copies: Vec<T> = Vec::new();
    let mut per_copy = 0.0;
    for _ in 0..2 {
        let before = resident_bytes()?;
        let count = copies.len();
        while resident_bytes()? < before + GROWTH_BYTES {
            copies.push(make()?);
        }
        per_copy = (resident_bytes()? - before) / (copies.len() - count) as f64;
    }
    Ok(per_copy)
}

/// Returns the mean time of one call of `run`, in microseconds.
pub fn micros_per_round(
    rounds: u32,
    mut run: impl FnMut() -> Result<(), Error>,
) -> Result<f64, Error> {
    let start = time::Instant::now();
    for _ in 0..rounds {
        run()?;
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds))
}

/// Parses a name.
pub fn name<T: FromStr>(text: &str) -> Result<T, Error>
where
    T::Err: Display,
{
    text.parse()
        .map_err(|error: T::Err| Error::Name(error.to_string()))
}
