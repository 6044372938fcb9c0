//! Reads resident memory and time.

use std::fmt::Display;
use std::fs;
use std::str::FromStr;
use std::time;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;

const PAGE_BYTES: f64 = 4096.0;
/// How far the resident memory grows before and during a measurement, in bytes.
const GROWTH_BYTES: f64 = 48e6;

/// Returns the resident bytes of this process.
pub fn resident() -> Result<f64, Error> {
    let text = fs::read_to_string("/proc/self/statm");
    let text = text.map_err(|error| Error::Resident(error.to_string()))?;
    let pages = text.split_whitespace().nth(1).unwrap_or_default();
    let pages = pages.parse::<f64>();
    let pages = pages.map_err(|error| Error::Resident(error.to_string()))?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the encoded bytes of a value.
pub fn encoded<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(value).map_err(|error| Error::Codec(error.to_string()))
}

/// Returns the resident bytes of a value.
///
/// # Errors
/// Fails where the value does not encode and decode, or the memory cannot be read.
pub fn held<T: Serialize + DeserializeOwned>(value: &T) -> Result<f64, Error> {
    let encoded = encoded(value)?;
    grown(|| rmp_serde::from_slice::<T>(&encoded).map_err(|error| Error::Codec(error.to_string())))
}

/// Returns the resident bytes of what a function makes.
///
/// Copies are held until memory that was freed before is used up and the process grows; then the
/// growth for each further copy counts.
///
/// # Errors
/// Fails where the function does, or the memory cannot be read.
pub fn grown<T>(mut make: impl FnMut() -> Result<T, Error>) -> Result<f64, Error> {
    let mut copies: Vec<T> = Vec::new();
    let mut each = 0.0;
    for _ in 0..2 {
        let before = resident()?;
        let count = copies.len();
        while resident()? < before + GROWTH_BYTES {
            copies.push(make()?);
        }
        each = (resident()? - before) / (copies.len() - count) as f64;
    }
    Ok(each)
}

/// Returns the microseconds that one round takes.
pub fn micros(rounds: u32, mut run: impl FnMut() -> Result<(), Error>) -> Result<f64, Error> {
    let start = time::Instant::now();
    for _ in 0..rounds {
        run()?;
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds))
}

/// Reads a name.
pub fn name<T: FromStr>(text: &str) -> Result<T, Error>
where
    T::Err: Display,
{
    text.parse()
        .map_err(|error: T::Err| Error::Name(error.to_string()))
}
