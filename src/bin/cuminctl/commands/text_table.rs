//! Formats rows of cells as a table with aligned columns.

use super::output::print_line;

/// A text table in which each column is as wide as its longest cell.
#[derive(Debug)]
pub(crate) struct TextTable<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> TextTable<N> {
    /// Creates a table with column headings as its first row.
    pub(crate) fn new(headings: [&str; N]) -> Self {
        Self {
            rows: vec![headings.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    /// Prints the table.
    pub(crate) fn print(&self) {
        let widths: [usize; N] =
            std::array::from_fn(|column| self.rows.iter().map(|row| row[column].len()).max())
                .map(Option::unwrap_or_default);
        for row in &self.rows {
            let cells = row.iter().zip(widths);
            let line: String = cells
                .map(|(cell, width)| format!("{cell:width$}  "))
                .collect();
            print_line(line.trim_end());
        }
    }
}
