//! Report on the burn rates of error budgets, summed over the entries' status pages.

mod page;

use super::{CommandContext, CommandError};
use crate::output::{self, TableRow};
use plantain_core::burn::{BurnCounts, BurnRates, BurnReport, ServiceObjectives};
use plantain_net::{
    client::url,
    platform::records::{ENTRY_KIND, EntryRecord},
};
use serde::Serialize;
use serde_json::Value;
use std::{collections::BTreeMap, fs, path::Path, time::Duration};

/// Time limit for reading an entry's status page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of names in each list.
const SHOWN_NAMES: usize = 10;

/// Counts and burn rates of one class of requests over one window.
#[derive(Clone, Debug, Serialize)]
pub(super) struct BurnRow {
    window_seconds: u64,
    class: String,
    counts: BurnCounts,
    burn: BurnRates,
}

/// Sums over all entries that answered.
#[derive(Clone, Debug, Serialize)]
pub(super) struct FleetReport {
    objectives: ServiceObjectives,
    entries: usize,
    not_reached: Vec<String>,
    rows: Vec<BurnRow>,
    worst_adapters: Vec<(String, u64)>,
    worst_callers: Vec<(String, u64)>,
    refused_for: BTreeMap<String, u64>,
}

impl TableRow for BurnRow {
    const HEADS: &'static [&'static str] = &[
        "WINDOW",
        "CLASS",
        "ENDED",
        "FAILED",
        "LATE",
        "STALLED",
        "BURN: AVAILABILITY",
        "FIRST BYTE",
        "LOAD STALL",
    ];

    fn cells(&self) -> Vec<String> {
        let counts = &self.counts;
        vec![
            format!("{} min", self.window_seconds / 60),
            self.class.clone(),
            counts.ended.to_string(),
            counts.failed.to_string(),
            counts.late.to_string(),
            counts.stalled.to_string(),
            format!("{:.2}", self.burn.availability),
            format!("{:.2}", self.burn.first_byte),
            format!("{:.2}", self.burn.load_stall),
        ]
    }
}

pub(super) async fn execute(
    context: &CommandContext<'_>,
    html: Option<&Path>,
) -> Result<(), CommandError> {
    let report = collect_report(context).await?;
    if let Some(file) = html {
        fs::write(file, page::render(&report))
            .map_err(|error| CommandError::Failed(format!("write {}: {error}", file.display())))?;
    }
    if context.settings.json {
        output::print_json(&report);
        return Ok(());
    }
    println!("{} entries; burn 1 uses up an error budget exactly", report.entries);
    output::print_rows(&report.rows, false);
    print_names("worst adapters and services (failed or stalled)", &report.worst_adapters);
    print_names("worst callers", &report.worst_callers);
    let reasons: Vec<(String, u64)> =
        report.refused_for.iter().map(|(reason, count)| (reason.clone(), *count)).collect();
    print_names("failed for", &reasons);
    for name in &report.not_reached {
        println!("not reached: entry {name}; its requests are missing above");
    }
    Ok(())
}

fn print_names(title: &str, names: &[(String, u64)]) {
    if names.is_empty() {
        return;
    }
    println!("\n{title}:");
    for (name, count) in names {
        println!("  {count:>8}  {name}");
    }
}

async fn collect_report(context: &CommandContext<'_>) -> Result<FleetReport, CommandError> {
    let objectives = context.snapshot().await?.preset().objectives;
    let entries = context.platform.list::<EntryRecord>(ENTRY_KIND).await?.items;
    let entries: Vec<EntryRecord> = entries.into_iter().filter_map(|item| item.value).collect();
    let mut sums: BTreeMap<u64, BTreeMap<String, BurnCounts>> = BTreeMap::new();
    let mut adapters = BTreeMap::new();
    let mut callers = BTreeMap::new();
    let mut refused_for = BTreeMap::new();
    let mut not_reached = Vec::new();
    for entry in &entries {
        let page = context.http.get_json::<Value>(&url(entry.admin, "/status"), PAGE_TIMEOUT).await;
        let burn = page.ok().filter(|page| page["name"] == entry.name.as_str());
        let burn = burn.and_then(|mut page| serde_json::from_value(page["burn"].take()).ok());
        let Some(burn): Option<BurnReport> = burn else {
            not_reached.push(entry.name.clone());
            continue;
        };
        for (window, classes) in burn.windows {
            for (class, counts) in classes {
                sums.entry(window).or_default().entry(class).or_default().add(&counts);
            }
        }
        add_names(&mut adapters, burn.subjects);
        add_names(&mut callers, burn.callers);
        add_names(&mut refused_for, burn.reasons);
    }
    let rows = sums.into_iter().flat_map(|(window_seconds, classes)| {
        classes.into_iter().map(move |(class, counts)| BurnRow {
            window_seconds,
            class,
            burn: counts.rates(&objectives),
            counts,
        })
    });
    Ok(FleetReport {
        objectives,
        entries: entries.len(),
        not_reached,
        rows: rows.collect(),
        worst_adapters: worst(adapters),
        worst_callers: worst(callers),
        refused_for,
    })
}

fn add_names(sums: &mut BTreeMap<String, u64>, names: impl IntoIterator<Item = (String, u64)>) {
    for (name, count) in names {
        *sums.entry(name).or_default() += count;
    }
}

fn worst(sums: BTreeMap<String, u64>) -> Vec<(String, u64)> {
    let mut names: Vec<(String, u64)> = sums.into_iter().collect();
    names.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    names.truncate(SHOWN_NAMES);
    names
}
