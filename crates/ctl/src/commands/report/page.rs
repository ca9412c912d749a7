//! The report as a self-contained HTML page.

use super::{BurnRow, FleetReport};
use std::fmt::Write;

/// Maximum width of a bar, in pixels.
const BAR_WIDTH: f64 = 150.0;
/// Burn rate at which a bar has its maximum width.
const FULL_BURN: f64 = 10.0;

const STYLE: &str = "body{font:15px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}\
td,th{padding:4px 12px;text-align:right;border-bottom:1px solid #ddd}td:nth-child(2),\
th:nth-child(2){text-align:left}.note{color:#a00}";

/// Renders the report as HTML.
pub(super) fn render(report: &FleetReport) -> String {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1><p>{} entries. Burn 1 uses up an error \
         budget exactly; bars are full at {FULL_BURN}.</p>",
        report.entries
    );
    for name in &report.not_reached {
        let _ = write!(page, "<p class=\"note\">Not reached: entry {}.</p>", escape(name));
    }
    page.push_str(
        "<table><tr><th>window</th><th>class</th><th>ended</th><th>availability</th>\
         <th>first byte</th><th>load stall</th></tr>",
    );
    for row in &report.rows {
        write_row(&mut page, row);
    }
    page.push_str("</table>");
    write_names(&mut page, "Worst adapters and services", &report.worst_adapters);
    write_names(&mut page, "Worst callers", &report.worst_callers);
    let reasons: Vec<(String, u64)> =
        report.refused_for.iter().map(|(reason, count)| (reason.clone(), *count)).collect();
    write_names(&mut page, "Failed for", &reasons);
    page.push_str("</html>\n");
    page
}

fn write_row(page: &mut String, row: &BurnRow) {
    let _ = write!(
        page,
        "<tr><td>{} min</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        row.window_seconds / 60,
        escape(&row.class),
        row.counts.ended,
        bar(row.burn.availability),
        bar(row.burn.first_byte),
        bar(row.burn.load_stall)
    );
}

fn bar(burn: f64) -> String {
    let width = (burn / FULL_BURN).min(1.0) * BAR_WIDTH;
    let colour = if burn > 1.0 { "#c33" } else { "#383" };
    format!(
        "<svg width=\"{BAR_WIDTH}\" height=\"14\"><rect width=\"{width:.1}\" height=\"14\" \
         fill=\"{colour}\"/></svg> {burn:.2}"
    )
}

fn write_names(page: &mut String, title: &str, names: &[(String, u64)]) {
    if names.is_empty() {
        return;
    }
    let _ = write!(page, "<h2>{title}</h2><table>");
    for (name, count) in names {
        let _ = write!(page, "<tr><td>{count}</td><td>{}</td></tr>", escape(name));
    }
    page.push_str("</table>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
