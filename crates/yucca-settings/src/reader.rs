//! Reads settings field by field and collects findings.

use std::ops;

use indexmap::IndexMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};
use yucca_wire::finding;

use crate::field;
use crate::place;
use crate::value;

/// The least likeness, from 0 to 1, of a name that is proposed in place of an unknown one.
const MIN_LIKENESS: f64 = 0.7;

/// A value of the file and where it is.
pub type Node<'i> = Spanned<DeValue<'i>>;

/// A table of settings that a binary declares with [`section!`](crate::section!).
pub trait Section: Sized {
    /// The section's settings, in the order of the declaration.
    const FIELDS: &'static [field::Field];

    /// Reads the section; `None` where a finding was made.
    fn read(table: &Table<'_>, reader: &mut Reader<'_>) -> Option<Self>;
}

/// A rule that the settings violate, reported by a check of the binary that declares them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The dotted path of the setting, such as `addresses.peer`.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// How to mend it.
    pub remedy: String,
}

/// A table of the file and its path.
#[derive(Debug, Clone, Copy)]
pub struct Table<'t> {
    entries: &'t DeTable<'t>,
    path: &'t str,
    offset: usize,
}

/// Collects findings while a file is read.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    file: &'t str,
    findings: Vec<finding::Finding>,
    offsets: IndexMap<String, usize>,
    /// The text had syntax errors, so that settings may seem missing which are not.
    broken: bool,
}

/// Reads the settings in `text`, which came from `file`.
///
/// # Errors
/// Gives all findings, ordered by their place.
pub fn read<T: Section>(text: &str, file: &str) -> Result<T, Vec<finding::Finding>> {
    read_checked(text, file, |_| Vec::new())
}

/// Reads settings and then has `check` look for what single values cannot show.
///
/// # Errors
/// Gives all findings, ordered by their place.
pub fn read_checked<T: Section>(
    text: &str,
    file: &str,
    check: impl FnOnce(&T) -> Vec<Violation>,
) -> Result<T, Vec<finding::Finding>> {
    let mut reader = Reader::new(text, file);
    let (root, errors) = DeTable::parse_recoverable(text);
    reader.broken = !errors.is_empty();
    for error in &errors {
        reader.syntax(error);
    }
    let table = Table {
        entries: root.get_ref(),
        path: "",
        offset: 0,
    };
    let settings = table.read::<T>(&mut reader);
    if let (Some(settings), true) = (&settings, reader.findings.is_empty()) {
        for violation in check(settings) {
            reader.add_violation(violation);
        }
    }
    match settings {
        Some(settings) if reader.findings.is_empty() => Ok(settings),
        _ => Err(reader.finish()),
    }
}

impl<'t> Table<'t> {
    /// Returns the table in `node`, which stands at `path`.
    pub(crate) fn new(entries: &'t DeTable<'t>, path: &'t str, span: ops::Range<usize>) -> Self {
        Self {
            entries,
            path,
            offset: span.start,
        }
    }

    /// Reads the section in this table and reports settings that it does not have.
    pub(crate) fn read<T: Section>(&self, reader: &mut Reader<'_>) -> Option<T> {
        for key in self.entries.keys() {
            let known = T::FIELDS.iter().any(|field| field.name == key.get_ref());
            if !known {
                reader.unknown(self, key, T::FIELDS);
            }
        }
        T::read(self, reader)
    }

    /// Reads one setting, or its default where the file does not have it.
    pub fn field<V: value::Value>(
        &self,
        field: &field::Field,
        reader: &mut Reader<'_>,
    ) -> Option<V> {
        let path = self.join(field.name);
        let entry = self
            .entries
            .iter()
            .find(|(key, _)| key.get_ref() == field.name);
        if let Some((_, node)) = entry {
            reader.offsets.insert(path.clone(), node.span().start);
            return V::read(node, &path, reader);
        }
        if let Some(default) = field.default {
            return read_default(default, &path, reader);
        }
        let absent = V::absent();
        if absent.is_none() {
            reader.missing(self, &path, field);
        }
        absent
    }

    fn join(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

/// Reads a default from the declaration of its field.
fn read_default<V: value::Value>(text: &str, path: &str, reader: &mut Reader<'_>) -> Option<V> {
    match DeValue::parse(text) {
        Ok(node) => V::read(&node, path, reader),
        Err(error) => {
            reader.add(
                path,
                None,
                format!("the default {text} is malformed: {error}"),
                "report it".into(),
            );
            None
        }
    }
}

impl<'t> Reader<'t> {
    fn new(text: &'t str, file: &'t str) -> Self {
        Self {
            text,
            file,
            findings: Vec::new(),
            offsets: IndexMap::new(),
            broken: false,
        }
    }

    /// Reports that the value at `path` is not what was expected.
    pub fn mismatch(&mut self, path: &str, node: &Node<'_>, problem: String, expected: &str) {
        let remedy = format!("expected {expected}");
        self.add(path, Some(node.span().start), problem, remedy);
    }

    fn syntax(&mut self, error: &toml::de::Error) {
        let offset = error.span().map(|span| span.start);
        let problem = format!("malformed TOML: {}", error.message());
        self.add("", offset, problem, "correct the line".into());
    }

    fn unknown(
        &mut self,
        table: &Table<'_>,
        key: &Spanned<toml::de::DeString<'_>>,
        fields: &[field::Field],
    ) {
        let name = key.get_ref();
        let path = table.join(name);
        let remedy = match nearest(name, fields) {
            Some(near) => format!("write `{near}`, or remove it"),
            None => format!("remove it; known here are {}", names(fields)),
        };
        self.add(
            &path,
            Some(key.span().start),
            format!("unknown setting `{name}`"),
            remedy,
        );
    }

    fn missing(&mut self, table: &Table<'_>, path: &str, field: &field::Field) {
        if self.broken {
            return;
        }
        let expected = (field.shape)().expected();
        let problem = format!("required setting `{}` is missing", field.name);
        let remedy = format!("add `{} = ...`, {expected}", field.name);
        self.add(path, Some(table.offset), problem, remedy);
    }

    fn add_violation(&mut self, violation: Violation) {
        let offset = self.offsets.get(&violation.path).copied();
        self.add(&violation.path, offset, violation.problem, violation.remedy);
    }

    fn add(&mut self, path: &str, offset: Option<usize>, problem: String, remedy: String) {
        let position = offset.map(|offset| place::position(self.text, offset));
        let place = finding::Place {
            file: Some(self.file.into()),
            line: position.map(|(line, _)| line),
            column: position.map(|(_, column)| column),
            path: path.into(),
        };
        self.findings.push(finding::Finding {
            place,
            problem,
            remedy,
        });
    }

    fn finish(mut self) -> Vec<finding::Finding> {
        self.findings
            .sort_by_key(|finding| (finding.place.line, finding.place.column));
        self.findings
    }
}

fn nearest(name: &str, fields: &[field::Field]) -> Option<&'static str> {
    let likeness = |field: &field::Field| strsim::jaro_winkler(name, field.name);
    let scored = fields.iter().map(|field| (likeness(field), field.name));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_LIKENESS).then_some(best.1)
}

fn names(fields: &[field::Field]) -> String {
    let quoted: Vec<String> = fields
        .iter()
        .map(|field| format!("`{}`", field.name))
        .collect();
    quoted.join(", ")
}
