//! Collects findings with their places.

use indexmap::IndexMap;
use yucca_wire::finding;

use super::text;

/// The most findings that are reported together.
const MAX_FINDINGS: usize = 100;

/// The findings of one text.
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

    /// Remembers the offset in bytes at which the value with this path starts.
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

    /// Adds a finding about the text at this offset.
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

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.found.len()
    }

    /// Returns all of them, in the order of the text.
    pub fn into_vec(mut self) -> Vec<finding::Finding> {
        self.found
            .sort_by_key(|finding| (finding.place.line, finding.place.column));
        self.found
    }

    /// Returns the offset of the value, or of the nearest one around it.
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

/// Appends a key to a dotted path; a key with other characters than a bare one's is quoted.
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

/// Returns the name among `known` that is nearest to a name that is not known, with a question.
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
