//! Formats aligned text tables for terminals.

/// A table whose first row is the heading.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column names, which are displayed in upper case.
    pub fn new(columns: &[&str]) -> Table {
        Table { rows: vec![columns.iter().map(|name| name.to_uppercase()).collect()] }
    }

    /// Adds a row. Empty cells are displayed as `-`.
    pub fn add_row(&mut self, cells: Vec<String>) {
        let display = |cell: String| if cell.is_empty() { "-".to_owned() } else { cell };
        self.rows.push(cells.into_iter().map(display).collect());
    }

    /// Returns the table as text, one line for each row. Columns of numbers are right-aligned.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let right_aligned: Vec<bool> =
            (0..columns).map(|column| self.is_number_column(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).zip(&right_aligned);
            let cells = cells.map(|((cell, width), is_right)| align(cell, *width, *is_right));
            let line = cells.collect::<Vec<String>>().join("  ");
            text += line.trim_end();
            text.push('\n');
        }
        text
    }

    /// Returns the cells of a column, beginning with the heading.
    fn cells(&self, column: usize) -> impl Iterator<Item = &str> {
        self.rows.iter().filter_map(move |row| row.get(column)).map(String::as_str)
    }

    /// Returns the width of the widest cell of a column, in characters.
    fn width(&self, column: usize) -> usize {
        self.cells(column).map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

    /// Returns `true` if the cells below the heading consist of digits and the characters `-+.%`.
    fn is_number_column(&self, column: usize) -> bool {
        let is_numeric = |c: char| c.is_ascii_digit() || "-+.%".contains(c);
        self.rows.len() > 1 && self.cells(column).skip(1).all(|cell| cell.chars().all(is_numeric))
    }
}

/// Pads a cell to the width of its column.
fn align(cell: &str, width: usize, is_right: bool) -> String {
    if is_right { format!("{cell:>width$}") } else { format!("{cell:<width$}") }
}
