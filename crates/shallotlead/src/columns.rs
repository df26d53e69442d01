//! Aligned columns of text.

/// Rows of text with a header, printed with aligned columns.
#[derive(Clone, Debug)]
pub(crate) struct Columns {
    rows: Vec<Vec<String>>,
}

const GAP: &str = "  ";

impl Columns {
    /// Columns with these titles and no rows.
    pub(crate) fn new<T: ToString>(titles: impl IntoIterator<Item = T>) -> Self {
        Self { rows: vec![titles.into_iter().map(|it| it.to_string()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn push<T: ToString>(&mut self, cells: impl IntoIterator<Item = T>) {
        self.rows.push(cells.into_iter().map(|it| it.to_string()).collect());
    }
}

impl std::fmt::Display for Columns {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|it| it.get(column));
            cells.map(|it| it.chars().count()).max().unwrap_or(0)
        };
        let widths = (0..count).map(width).collect::<Vec<_>>();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}{GAP}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
