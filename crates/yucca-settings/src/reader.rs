//! Reads settings field by field and collects findings.

use std::ops;

use indexmap::IndexMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};
use yucca_wire::finding;

use crate::field;
use crate::place;
use crate::value;

/// Minimum Jaro-Winkler similarity, from 0 to 1, of a name that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Value of the file and its span in the text.
pub type Node<'i> = Spanned<DeValue<'i>>;

/// Table of settings that a binary declares with [`section!`](crate::section!).
pub trait Section: Sized {
    /// Settings of the section, in the order of the declaration.
    const FIELDS: &'static [field::Field];

    /// Reads the section; returns `None` after reporting a finding.
    fn read(table: &Table<'_>, reader: &mut Reader<'_>) -> Option<Self>;
}

/// Violation of a rule that the binary itself checks, before its place in the file is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Dotted path of the setting, such as `addresses.peer`.
    pub path: String,
    /// Description of the problem.
    pub problem: String,
    /// Instruction that fixes the problem.
    pub remedy: String,
}

/// Table of the file, with its path.
#[derive(Debug, Clone, Copy)]
pub struct Table<'t> {
    entries: &'t DeTable<'t>,
    path: &'t str,
    offset: usize,
}

/// Collector of findings while a file is read.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    file: &'t str,
    findings: Vec<finding::Finding>,
    offsets: IndexMap<String, usize>,
    /// Whether the text has syntax errors. If so, missing settings are not reported: the parser may
    /// have skipped them.
    has_syntax_errors: bool,
}

/// Reads the settings in `text`, the content of `file`.
///
/// # Errors
/// Returns all findings, ordered by their place.
pub fn read<T: Section>(text: &str, file: &str) -> Result<T, Vec<finding::Finding>> {
    read_checked(text, file, |_| Vec::new())
}

/// Reads settings, and validates them with `check` if all values are valid on their own.
///
/// # Errors
/// Returns all findings, ordered by their place.
pub fn read_checked<T: Section>(
    text: &str,
    file: &str,
    check: impl FnOnce(&T) -> Vec<Violation>,
) -> Result<T, Vec<finding::Finding>> {
    let mut reader = Reader::new(text, file);
    let (root, errors) = DeTable::parse_recoverable(text);
    reader.has_syntax_errors = !errors.is_empty();
    for error in &errors {
        reader.add_syntax_error(error);
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
    /// Returns the table with these entries at `path`; `span` is its place in the text.
    pub(crate) fn new(entries: &'t DeTable<'t>, path: &'t str, span: ops::Range<usize>) -> Self {
        Self {
            entries,
            path,
            offset: span.start,
        }
    }

    /// Reads the section in this table, and reports keys that the section does not declare.
    pub(crate) fn read<T: Section>(&self, reader: &mut Reader<'_>) -> Option<T> {
        for key in self.entries.keys() {
            let known = T::FIELDS.iter().any(|field| field.name == key.get_ref());
            if !known {
                reader.add_unknown(self, key, T::FIELDS);
            }
        }
        T::read(self, reader)
    }

    /// Reads one setting, or its default if the file does not have it.
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
            reader.add_missing(self, &path, field);
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

/// Reads the default in the declaration of a field.
fn read_default<V: value::Value>(text: &str, path: &str, reader: &mut Reader<'_>) -> Option<V> {
    match DeValue::parse(text) {
        Ok(node) => V::read(&node, path, reader),
        Err(error) => {
            reader.add(
                path,
                None,
                format!("the default {text} is malformed: {error}"),
                "report this as a bug".into(),
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
            has_syntax_errors: false,
        }
    }

    /// Reports that the value at `path` does not have the expected form.
    pub fn mismatch(&mut self, path: &str, node: &Node<'_>, problem: String, expected: &str) {
        let remedy = format!("expected {expected}");
        self.add(path, Some(node.span().start), problem, remedy);
    }

    fn add_syntax_error(&mut self, error: &toml::de::Error) {
        let offset = error.span().map(|span| span.start);
        let problem = format!("malformed TOML: {}", error.message());
        self.add("", offset, problem, "correct the line".into());
    }

    fn add_unknown(
        &mut self,
        table: &Table<'_>,
        key: &Spanned<toml::de::DeString<'_>>,
        fields: &[field::Field],
    ) {
        let name = key.get_ref();
        let path = table.join(name);
        let remedy = match nearest(name, fields) {
            Some(near) => format!("write `{near}`, or remove it"),
            None => format!("remove it; the known settings are {}", names(fields)),
        };
        self.add(
            &path,
            Some(key.span().start),
            format!("unknown setting `{name}`"),
            remedy,
        );
    }

    fn add_missing(&mut self, table: &Table<'_>, path: &str, field: &field::Field) {
        if self.has_syntax_errors {
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
    let similarity = |field: &field::Field| strsim::jaro_winkler(name, field.name);
    let scored = fields.iter().map(|field| (similarity(field), field.name));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}

fn names(fields: &[field::Field]) -> String {
    let quoted: Vec<String> = fields
        .iter()
        .map(|field| format!("`{}`", field.name))
        .collect();
    quoted.join(", ")
}
