//! Renders plain-text tables.

/// Renders rows under a header. Each column is as wide as its widest cell.
pub(crate) fn render_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let mut lines = vec![render_row(&header, &widths)];
    lines.extend(rows.iter().map(|row| render_row(row, &widths)));
    lines.join("\n")
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
