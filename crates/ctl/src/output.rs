//! Tables for people, JSON for programs.

use comfy_table::{Table, presets};
use serde::Serialize;

/// A list that can be printed both ways.
pub trait TableRow: Serialize {
    /// Column heads.
    const HEADS: &'static [&'static str];

    /// The row's cells.
    fn cells(&self) -> Vec<String>;
}

/// Prints rows.
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

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
