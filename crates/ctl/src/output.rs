//! Output as a table or as JSON.

use comfy_table::{Table, presets};
use serde::Serialize;

/// A row of a list that is printed as a table or as JSON.
pub trait TableRow: Serialize {
    /// Column headings.
    const HEADS: &'static [&'static str];

    /// The row's cells, in the order of the headings.
    fn cells(&self) -> Vec<String>;
}

/// Prints rows to standard output, as a JSON array if `json` is set.
pub fn print_rows<T: TableRow>(rows: &[T], json: bool) {
    if json {
        print_json(&rows);
        return;
    }
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(T::HEADS.iter().copied());
    for row in rows {
        table.add_row(row.cells());
    }
    println!("{}", table.trim_fmt());
}

/// Prints a value to standard output as indented JSON.
pub fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
