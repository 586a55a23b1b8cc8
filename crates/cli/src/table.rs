//! Aligned tables for terminals.

/// A table with a heading.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with the names of its columns.
    pub fn new(columns: &[&str]) -> Table {
        Table { rows: vec![columns.iter().map(|name| name.to_uppercase()).collect()] }
    }

    /// Adds a row; empty cells show as `-`.
    pub fn add_row(&mut self, cells: Vec<String>) {
        let shown = |cell: String| if cell.is_empty() { "-".to_owned() } else { cell };
        self.rows.push(cells.into_iter().map(shown).collect());
    }

    /// The table's text, a line for each row. Columns of numbers are aligned at their right.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let numbers: Vec<bool> = (0..columns).map(|column| self.is_number(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).zip(&numbers);
            let cells = cells.map(|((cell, width), number)| align(cell, *width, *number));
            let line = cells.collect::<Vec<String>>().join("  ");
            text += line.trim_end();
            text.push('\n');
        }
        text
    }

    fn cells(&self, column: usize) -> impl Iterator<Item = &str> {
        self.rows.iter().filter_map(move |row| row.get(column)).map(String::as_str)
    }

    fn width(&self, column: usize) -> usize {
        self.cells(column).map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

    fn is_number(&self, column: usize) -> bool {
        let number = |c: char| c.is_ascii_digit() || "-+.%".contains(c);
        self.rows.len() > 1 && self.cells(column).skip(1).all(|cell| cell.chars().all(number))
    }
}

fn align(cell: &str, width: usize, right: bool) -> String {
    if right { format!("{cell:>width$}") } else { format!("{cell:<width$}") }
}
