//! Parsers for JSON and TOML. Both return the same kind of tree, whose nodes have the offset in the
//! text.

use std::fmt;

use serde::Deserialize;
use serde::de;
use serde_json::value;
use toml::de::{DeTable, DeValue};
use yucca_wire::finding;

/// Maximum nesting of a ticket; the schema needs seven levels.
const MAX_DEPTH: usize = 16;

/// A value and the offset in bytes at which it starts.
#[derive(Debug)]
pub struct Node {
    /// The offset in bytes.
    pub at: usize,
    /// The value.
    pub value: Value,
}

/// A value of a JSON or TOML text.
#[derive(Debug)]
pub enum Value {
    /// JSON's null.
    Null,
    /// A boolean.
    Bool(bool),
    /// A number.
    Number(serde_json::Number),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Node>),
    /// An object or table, in the order of the text.
    Map(Vec<Entry>),
    /// TOML's date or time.
    Date,
}

/// A key and its value.
#[derive(Debug)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The offset of the key in bytes.
    pub at: usize,
    /// The value.
    pub node: Node,
}

/// Syntax error in a text.
#[derive(Debug)]
pub struct Fault {
    /// The offset in bytes.
    pub at: usize,
    /// Message of the parser.
    pub reason: String,
}

impl Value {
    /// Returns the name of the value's type.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "boolean",
            Self::Number(_) => "number",
            Self::Text(_) => "string",
            Self::List(_) => "array",
            Self::Map(_) => "object",
            Self::Date => "date",
        }
    }
}

/// Returns the place of an offset in bytes, with line and column counted from 1.
pub fn place(text: &str, at: usize, path: &str) -> finding::Place {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    finding::Place {
        file: None,
        line: Some(before.matches('\n').count() + 1),
        column: Some(before[line_start..].chars().count() + 1),
        path: path.into(),
    }
}

/// Parses a TOML text.
///
/// # Errors
/// Returns all faults that the parser found.
pub fn toml(text: &str) -> Result<Node, Vec<Fault>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    if errors.is_empty() {
        let at = table.span().start;
        let value = toml_table(table.get_ref(), 0).map_err(|fault| vec![fault])?;
        return Ok(Node { at, value });
    }
    let faults = errors.iter().map(|error| Fault {
        at: error.span().map_or(0, |span| span.start),
        reason: error.message().into(),
    });
    Err(faults.collect())
}

fn too_deep(at: usize) -> Fault {
    Fault {
        at,
        reason: format!("nested deeper than {MAX_DEPTH} levels"),
    }
}

fn toml_table(table: &DeTable<'_>, depth: usize) -> Result<Value, Fault> {
    let mut entries = Vec::with_capacity(table.len());
    for (key, value) in table {
        let at = key.span().start;
        let node = toml_value(value.get_ref(), value.span().start, depth + 1)?;
        let key = key.get_ref().to_string();
        entries.push(Entry { key, at, node });
    }
    entries.sort_by_key(|entry| entry.at);
    Ok(Value::Map(entries))
}

fn toml_value(value: &DeValue<'_>, at: usize, depth: usize) -> Result<Node, Fault> {
    if depth > MAX_DEPTH {
        return Err(too_deep(at));
    }
    let out_of_range = || Fault {
        at,
        reason: "number is out of range".into(),
    };
    let value = match value {
        DeValue::String(text) => Value::Text(text.to_string()),
        DeValue::Integer(number) => {
            let digits = number.as_str().replace('_', "");
            let parsed = i128::from_str_radix(&digits, number.radix()).ok();
            let number = parsed.and_then(serde_json::Number::from_i128);
            Value::Number(number.ok_or_else(out_of_range)?)
        }
        DeValue::Float(number) => {
            let parsed: Option<f64> = number.as_str().parse().ok();
            let number = parsed.and_then(serde_json::Number::from_f64);
            Value::Number(number.ok_or_else(out_of_range)?)
        }
        DeValue::Boolean(value) => Value::Bool(*value),
        DeValue::Datetime(_) => Value::Date,
        DeValue::Array(items) => {
            let nodes = items
                .iter()
                .map(|item| toml_value(item.get_ref(), item.span().start, depth + 1));
            Value::List(nodes.collect::<Result<_, _>>()?)
        }
        DeValue::Table(table) => toml_table(table, depth)?,
    };
    Ok(Node { at, value })
}

/// Parses a JSON text.
///
/// # Errors
/// Returns the first fault; the parser does not continue after it.
pub fn json(text: &str) -> Result<Node, Vec<Fault>> {
    let raw: &value::RawValue = serde_json::from_str(text).map_err(|error| {
        let reason = error.to_string();
        let reason = reason.split(" at line ").next().unwrap_or_default();
        vec![Fault {
            at: offset(text, error.line(), error.column()),
            reason: reason.into(),
        }]
    })?;
    json_value(text, raw, 0).map_err(|fault| vec![fault])
}

fn offset(text: &str, line: usize, column: usize) -> usize {
    let lines = text.split_inclusive('\n').take(line.saturating_sub(1));
    lines.map(str::len).sum::<usize>() + column.saturating_sub(1)
}

/// Converts one value. `raw` is a slice of `text`, so its address gives the offset.
fn json_value(text: &str, raw: &value::RawValue, depth: usize) -> Result<Node, Fault> {
    let part = raw.get();
    let at = part.as_ptr() as usize - text.as_ptr() as usize;
    if depth > MAX_DEPTH {
        return Err(too_deep(at));
    }
    let fault = |error: serde_json::Error| Fault {
        at,
        reason: error.to_string(),
    };
    let value = match part.as_bytes().first() {
        Some(b'{') => {
            let pairs: Pairs<'_> = serde_json::from_str(part).map_err(fault)?;
            let mut entries = Vec::with_capacity(pairs.0.len());
            for pair in pairs.0 {
                let node = json_value(text, pair.value, depth + 1)?;
                entries.push(Entry {
                    at: json_key_offset(text, node.at),
                    key: pair.key,
                    node,
                });
            }
            Value::Map(entries)
        }
        Some(b'[') => {
            let items: Vec<&value::RawValue> = serde_json::from_str(part).map_err(fault)?;
            let nodes = items.iter().map(|item| json_value(text, item, depth + 1));
            Value::List(nodes.collect::<Result<_, _>>()?)
        }
        Some(b'"') => Value::Text(serde_json::from_str(part).map_err(fault)?),
        Some(b't' | b'f') => Value::Bool(serde_json::from_str(part).map_err(fault)?),
        Some(b'n') => Value::Null,
        _ => Value::Number(serde_json::from_str(part).map_err(fault)?),
    };
    Ok(Node { at, value })
}

/// Returns the offset of the opening quote of the key that precedes the value at this offset.
fn json_key_offset(text: &str, value_at: usize) -> usize {
    let before = text[..value_at].trim_end().trim_end_matches(':').trim_end();
    let inner = before.strip_suffix('"').unwrap_or(before);
    inner.rfind('"').unwrap_or(value_at)
}

/// Members of a JSON object, including repeated names.
struct Pairs<'a>(Vec<Pair<'a>>);

/// Member of a JSON object.
struct Pair<'a> {
    key: String,
    value: &'a value::RawValue,
}

impl<'de> Deserialize<'de> for Pairs<'de> {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(PairVisitor)
    }
}

struct PairVisitor;

impl<'de> de::Visitor<'de> for PairVisitor {
    type Value = Pairs<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut pairs = Vec::new();
        while let Some((key, value)) = map.next_entry()? {
            pairs.push(Pair { key, value });
        }
        Ok(Pairs(pairs))
    }
}
