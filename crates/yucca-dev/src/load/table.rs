//! Result tables, printed as text or written as JSON.

use std::fmt;

use serde::Serialize;

/// A titled table of figures.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// Title of the table.
    pub title: String,
    /// Column headings, with units.
    pub columns: Vec<&'static str>,
    /// Rows in the order of printing.
    pub rows: Vec<Row>,
}

/// A labelled row of figures.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Label of the row.
    pub label: String,
    /// One figure per column; NaN if there is none.
    pub figures: Vec<f64>,
}

impl Table {
    /// Returns a table without rows.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, label: impl Into<String>, figures: &[f64]) {
        self.rows.push(Row {
            label: label.into(),
            figures: figures.to_vec(),
        });
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::ASCII_MARKDOWN);
        let columns = self.columns.iter().copied();
        table.set_header(std::iter::once("").chain(columns));
        for row in &self.rows {
            let figures = row.figures.iter().map(|figure| format_figure(*figure));
            table.add_row(std::iter::once(row.label.clone()).chain(figures));
        }
        writeln!(f, "{}\n{table}", self.title)
    }
}

fn format_figure(figure: f64) -> String {
    if figure.is_nan() {
        "-".into()
    } else if figure.fract() == 0.0 && figure.abs() < 1e9 {
        format!("{figure:.0}")
    } else {
        format!("{figure:.3}")
    }
}
