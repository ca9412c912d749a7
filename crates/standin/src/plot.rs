//! Plots results of `bench` as an SVG with load stall and goodput of each policy.

use crate::options::PlotArguments;
use eyre::{Result, WrapErr, ensure, eyre};
use plotters::{
    chart::ChartBuilder,
    element::Rectangle,
    prelude::{IntoDrawingArea, IntoSegmentedCoord, SVGBackend, SegmentValue},
    style::{Color, IntoFont, Palette, Palette99, WHITE},
};
use serde_json::Value;
use std::fs;

/// Width and height of the SVG, in pixels.
const SIZE: (u32, u32) = (960, 420);

struct PolicyBar {
    policy: String,
    value: f64,
}

/// Plots the means over all given result files.
pub fn run(arguments: &PlotArguments) -> Result<()> {
    ensure!(!arguments.files.is_empty(), "expected at least one result file of bench --json");
    let mut rows = Vec::new();
    for file in &arguments.files {
        let text = fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
        let value: Vec<Value> =
            serde_json::from_str(&text).wrap_err_with(|| format!("read {}", file.display()))?;
        rows.extend(value);
    }
    ensure!(!rows.is_empty(), "the files contain no results");
    let root = SVGBackend::new(&arguments.out, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| eyre!("draw: {error}"))?;
    let areas = root.split_evenly((1, 3));
    let measures = [
        ("mean load stall, ms", "/load_stall_ms/mean"),
        ("upper priority, mean load stall, ms", "/upper_load_stall_ms/mean"),
        ("goodput, requests a second", "/goodput_rps"),
    ];
    for (area, (title, pointer)) in areas.iter().zip(measures) {
        let bars = means(&rows, pointer);
        let top = bars.iter().map(|bar| bar.value).fold(0.0, f64::max) * 1.15 + 1e-9;
        let names: Vec<String> = bars.iter().map(|bar| bar.policy.clone()).collect();
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16).into_font())
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(54)
            .build_cartesian_2d((0..names.len() - 1).into_segmented(), 0.0..top)
            .map_err(|error| eyre!("draw {title}: {error}"))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len())
            .x_label_formatter(&|segment| match segment {
                SegmentValue::CenterOf(index) => names.get(*index).cloned().unwrap_or_default(),
                _ => String::new(),
            })
            .label_style(("sans-serif", 11).into_font())
            .draw()
            .map_err(|error| eyre!("draw {title}: {error}"))?;
        let boxes = bars.iter().enumerate().map(|(index, bar)| {
            let corners =
                [(SegmentValue::Exact(index), 0.0), (SegmentValue::Exact(index + 1), bar.value)];
            let mut shape = Rectangle::new(corners, Palette99::pick(index).filled());
            shape.set_margin(0, 0, 12, 12);
            shape
        });
        chart.draw_series(boxes).map_err(|error| eyre!("draw {title}: {error}"))?;
    }
    root.present().map_err(|error| eyre!("write {}: {error}", arguments.out.display()))
}

/// Mean of a value for each policy, in the order in which the policies first occur.
fn means(rows: &[Value], pointer: &str) -> Vec<PolicyBar> {
    let mut sums: Vec<(String, f64, u32)> = Vec::new();
    for row in rows {
        let policy = row["policy"].as_str().unwrap_or("?");
        let value = row.pointer(pointer).and_then(Value::as_f64).unwrap_or(0.0);
        match sums.iter_mut().find(|(name, _, _)| name == policy) {
            Some((_, sum, count)) => {
                *sum += value;
                *count += 1;
            }
            None => sums.push((policy.to_owned(), value, 1)),
        }
    }
    sums.into_iter()
        .map(|(policy, sum, count)| PolicyBar { policy, value: sum / f64::from(count) })
        .collect()
}
