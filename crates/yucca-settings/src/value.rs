//! Types that a setting may have.

use std::net;
use std::path;

use toml::de::DeValue;
use yucca_wire::{auth, id, unit};

use crate::field;
use crate::reader;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Type that a setting may have.
pub trait Value: Sized {
    /// Returns the form of the value.
    fn shape() -> field::Shape;

    /// Reads the value in `node` at `path`; returns `None` after reporting a finding.
    fn read(node: &reader::Node<'_>, path: &str, reader: &mut reader::Reader<'_>) -> Option<Self>;

    /// Returns the value of a setting that is absent and has no default.
    fn absent() -> Option<Self> {
        None
    }
}

/// Reads a table of settings.
pub fn read_section<T: reader::Section>(
    node: &reader::Node<'_>,
    path: &str,
    reader: &mut reader::Reader<'_>,
) -> Option<T> {
    match node.get_ref().as_table() {
        Some(entries) => reader::Table::new(entries, path, node.span()).read(reader),
        None => {
            mismatch_type(node, path, reader, "a table");
            None
        }
    }
}

fn mismatch_type(
    node: &reader::Node<'_>,
    path: &str,
    reader: &mut reader::Reader<'_>,
    expected: &str,
) {
    let problem = format!("found {}", describe(node.get_ref()));
    reader.mismatch(path, node, problem, expected);
}

fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(_) => "a string".into(),
        DeValue::Array(_) => "a list".into(),
        DeValue::Integer(number) => format!("the number {number}"),
        DeValue::Float(number) => format!("the number {number}"),
        other => format!("a {}", other.type_str()),
    }
}

macro_rules! from_text {
    ($($ty:ty: $expected:literal;)+) => {$(
        impl Value for $ty {
            fn shape() -> field::Shape {
                field::Shape::Single($expected.into())
            }

            fn read(
                node: &reader::Node<'_>,
                path: &str,
                reader: &mut reader::Reader<'_>,
            ) -> Option<Self> {
                let Some(text) = node.get_ref().as_str() else {
                    mismatch_type(node, path, reader, $expected);
                    return None;
                };
                match text.parse() {
                    Ok(value) => Some(value),
                    Err(error) => {
                        let problem = format!("invalid value {text:?}: {error}");
                        reader.mismatch(path, node, problem, $expected);
                        None
                    }
                }
            }
        }
    )+};
}

from_text! {
    String: "a string in quotes";
    path::PathBuf: "a path in quotes";
    net::SocketAddr: "an IP address and port, such as \"127.0.0.1:7000\"";
    net::IpAddr: "an IP address, such as \"127.0.0.1\"";
    unit::Span: "a span of time with its unit, such as \"250ms\" or \"2s\"";
    unit::Size: "a size with its unit, such as \"64KiB\"";
    unit::Rate: "a rate, such as \"100/s\"";
    id::Domain: "a domain's name of a-z, 0-9, '-' and '.'";
    id::Host: "a host's name of a-z, 0-9, '-' and '.'";
    id::Region: "a region's name of a-z, 0-9, '-' and '.'";
    id::Service: "a service's name of a-z, 0-9, '-' and '.'";
    id::Target: "a target's name of a-z, 0-9, '-' and '.'";
}

macro_rules! from_integer {
    ($($ty:ty),+) => {$(
        impl Value for $ty {
            fn shape() -> field::Shape {
                field::Shape::Single(format!("a whole number from 0 to {}", <$ty>::MAX))
            }

            fn read(
                node: &reader::Node<'_>,
                path: &str,
                reader: &mut reader::Reader<'_>,
            ) -> Option<Self> {
                let number = node.get_ref().as_integer();
                let parsed = number.and_then(|n| <$ty>::from_str_radix(n.as_str(), n.radix()).ok());
                if parsed.is_none() {
                    mismatch_type(node, path, reader, &Self::shape().expected());
                }
                parsed
            }
        }
    )+};
}

from_integer!(u16, u32, u64, usize);

impl Value for bool {
    fn shape() -> field::Shape {
        field::Shape::Single("true or false".into())
    }

    fn read(node: &reader::Node<'_>, path: &str, reader: &mut reader::Reader<'_>) -> Option<Self> {
        let value = node.get_ref().as_bool();
        if value.is_none() {
            mismatch_type(node, path, reader, "true or false");
        }
        value
    }
}

impl Value for f64 {
    fn shape() -> field::Shape {
        field::Shape::Single("a number".into())
    }

    fn read(node: &reader::Node<'_>, path: &str, reader: &mut reader::Reader<'_>) -> Option<Self> {
        let value = match node.get_ref() {
            DeValue::Float(number) => number.as_str().parse().ok(),
            DeValue::Integer(number) => number.as_str().parse().ok(),
            _ => None,
        };
        let finite = value.filter(|number: &f64| number.is_finite());
        if finite.is_none() {
            mismatch_type(node, path, reader, "a finite number");
        }
        finite
    }
}

impl Value for auth::Secret {
    fn shape() -> field::Shape {
        field::Shape::Single(format!(
            "a secret string of at least {MIN_SECRET_BYTES} bytes"
        ))
    }

    fn read(node: &reader::Node<'_>, path: &str, reader: &mut reader::Reader<'_>) -> Option<Self> {
        let expected = Self::shape().expected();
        let Some(text) = node.get_ref().as_str() else {
            // The message does not show the value, since it may be the secret itself.
            reader.mismatch(path, node, "the secret is not a string".into(), &expected);
            return None;
        };
        if text.len() < MIN_SECRET_BYTES {
            let problem = format!("the secret has only {} bytes", text.len());
            reader.mismatch(path, node, problem, &expected);
            return None;
        }
        Some(Self::new(text))
    }
}

impl<T: Value> Value for Option<T> {
    fn shape() -> field::Shape {
        field::Shape::Optional(Box::new(T::shape()))
    }

    fn read(node: &reader::Node<'_>, path: &str, reader: &mut reader::Reader<'_>) -> Option<Self> {
        T::read(node, path, reader).map(Some)
    }

    fn absent() -> Option<Self> {
        Some(None)
    }
}

impl<T: Value> Value for Vec<T> {
    fn shape() -> field::Shape {
        field::Shape::List(Box::new(T::shape()))
    }

    fn read(node: &reader::Node<'_>, path: &str, reader: &mut reader::Reader<'_>) -> Option<Self> {
        let Some(nodes) = node.get_ref().as_array() else {
            mismatch_type(node, path, reader, &Self::shape().expected());
            return None;
        };
        let mut values = Vec::new();
        for (index, node) in nodes.iter().enumerate() {
            values.push(T::read(node, &format!("{path}[{index}]"), reader));
        }
        values.into_iter().collect()
    }

    fn absent() -> Option<Self> {
        Some(Vec::new())
    }
}
