//! The few JSON values that the stand-ins read.

/// Returns the text after `"name":`, if the name is there.
fn after<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":"))?;
    Some(text[start + name.len() + 3..].trim_start())
}

/// Returns a number.
pub fn number(text: &str, name: &str) -> Option<f64> {
    let rest = after(text, name)?;
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    rest[..end].trim().parse().ok()
}

/// Returns a string without escapes.
pub fn string(text: &str, name: &str) -> Option<String> {
    let rest = after(text, name)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

/// Returns rows of first key, last key and fencing token from `"holds":[[..],..]`.
pub fn rows(text: &str) -> Option<Vec<(u16, u16, u64)>> {
    let mut rest = after(text, "holds")?.strip_prefix('[')?;
    let mut rows = Vec::new();
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if rest.starts_with(']') {
            return Some(rows);
        }
        let end = rest.find(']')?;
        let mut cells = rest[..end].strip_prefix('[')?.split(',').map(str::trim);
        let from = cells.next()?.parse().ok()?;
        let to = cells.next()?.parse().ok()?;
        rows.push((from, to, cells.next()?.parse().ok()?));
        rest = &rest[end + 1..];
    }
}
