//! Prints every setting with its default, unit and description, as TOML with comments.

use crate::field;
use crate::reader;

/// Returns the settings of `T` as TOML text with comments.
///
/// Settings without a default are commented out.
pub fn print<T: reader::Section>() -> String {
    let mut text = String::new();
    print_fields(T::FIELDS, "", false, &mut text);
    text
}

/// Prints single values before tables, since in TOML all lines after a table's header belong to it.
fn print_fields(fields: &[field::Field], path: &str, commented: bool, text: &mut String) {
    for field in fields {
        if table(&(field.shape)()).is_none() {
            print_single(field, commented, text);
        }
    }
    for field in fields {
        let shape = (field.shape)();
        if let Some(inner) = table(&shape) {
            print_table(field, &shape, inner, path, commented, text);
        }
    }
}

fn table(shape: &field::Shape) -> Option<&'static [field::Field]> {
    match shape {
        field::Shape::Table(fields) => Some(fields),
        field::Shape::Optional(inner) | field::Shape::List(inner) => table(inner),
        field::Shape::Single(_) => None,
    }
}

fn print_single(field: &field::Field, commented: bool, text: &mut String) {
    let shape = (field.shape)();
    print_description(field, text);
    let expected = shape.expected();
    let prefix = if commented { "# " } else { "" };
    match (field.default, &shape) {
        (Some(default), _) => {
            text.push_str(&format!(
                "# Form: {expected}.\n{prefix}{} = {default}\n\n",
                field.name
            ));
        }
        (None, field::Shape::Optional(_) | field::Shape::List(_)) => {
            text.push_str(&format!(
                "# Form: {expected}. Optional.\n# {} =\n\n",
                field.name
            ));
        }
        (None, _) => {
            text.push_str(&format!(
                "# Form: {expected}. Required.\n# {} =\n\n",
                field.name
            ));
        }
    }
}

fn print_table(
    field: &field::Field,
    shape: &field::Shape,
    inner: &[field::Field],
    path: &str,
    commented: bool,
    text: &mut String,
) {
    let path = if path.is_empty() {
        field.name.to_string()
    } else {
        format!("{path}.{}", field.name)
    };
    print_description(field, text);
    let (header, commented) = match shape {
        field::Shape::List(_) => (format!("[[{path}]]"), true),
        field::Shape::Optional(_) => (format!("[{path}]"), true),
        _ => (format!("[{path}]"), commented),
    };
    let prefix = if commented { "# " } else { "" };
    text.push_str(&format!("{prefix}{header}\n\n"));
    print_fields(inner, &path, commented, text);
}

fn print_description(field: &field::Field, text: &mut String) {
    for line in field.description {
        text.push_str(&format!("#{line}\n"));
    }
}
