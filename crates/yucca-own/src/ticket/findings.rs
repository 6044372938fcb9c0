//! Collection of findings with their places in the text.

use indexmap::IndexMap;
use yucca_wire::finding;

use super::text;

/// Maximum number of findings that are reported for one ticket.
const MAX_FINDINGS: usize = 100;

/// Findings about one text.
#[derive(Debug)]
pub struct Findings<'a> {
    text: &'a str,
    places: IndexMap<String, usize>,
    found: Vec<finding::Finding>,
}

impl<'a> Findings<'a> {
    /// Returns an empty collection for this text.
    pub fn new(text: &'a str) -> Self {
        Self {
            text,
            places: IndexMap::new(),
            found: Vec::new(),
        }
    }

    /// Sets the offset in bytes at which the value with this path starts.
    pub fn locate(&mut self, path: &str, at: usize) {
        self.places.insert(path.into(), at);
    }

    /// Adds a finding about the value with this path.
    pub fn add(&mut self, path: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        let place = match self.offset(path) {
            Some(at) => text::place(self.text, at, path),
            None => finding::Place {
                path: path.into(),
                ..finding::Place::default()
            },
        };
        self.push(place, problem.into(), remedy.into());
    }

    /// Adds a finding about the text at this offset in bytes.
    pub fn add_at(
        &mut self,
        at: usize,
        path: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let place = text::place(self.text, at, path);
        self.push(place, problem.into(), remedy.into());
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.found.len()
    }

    /// Returns all findings in the order of the text.
    pub fn into_vec(mut self) -> Vec<finding::Finding> {
        self.found
            .sort_by_key(|finding| (finding.place.line, finding.place.column));
        self.found
    }

    /// Returns the offset in bytes of the value, or of the innermost enclosing value that has one.
    fn offset(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(at) = self.places.get(path) {
                return Some(*at);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    fn push(&mut self, place: finding::Place, problem: String, remedy: String) {
        if self.found.len() < MAX_FINDINGS {
            self.found.push(finding::Finding {
                place,
                problem,
                remedy,
            });
        }
    }
}

/// Appends a key to a dotted path. A key that is not a bare TOML key is quoted.
pub fn join(path: &str, key: &str) -> String {
    let bare = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let quoted = if !key.is_empty() && key.chars().all(bare) {
        key.to_string()
    } else {
        format!("{key:?}")
    };
    if path.is_empty() {
        quoted
    } else {
        format!("{path}.{quoted}")
    }
}

/// Returns a remedy for an unknown name: the most similar name in `known`, or all of them if none is
/// similar.
pub fn suggest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    const MIN_SIMILARITY: f64 = 0.6;
    let known: Vec<&str> = known.into_iter().collect();
    let scored = known
        .iter()
        .map(|other| (strsim::jaro_winkler(name, other), *other));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((score, nearest)) if score >= MIN_SIMILARITY => format!("did you mean {nearest:?}?"),
        _ => format!("use one of: {}", known.join(", ")),
    }
}
