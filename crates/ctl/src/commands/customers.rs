//! What customers use of their limits, summed up over routers' metrics pages.

use super::CommandError;
use crate::output::{self, TableRow};
use plantain_net::client::{HttpClient, url};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Longest wait for a router's page.
const PAGE_LIMIT: Duration = Duration::from_secs(3);

/// One customer over all routers that were asked.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerRow {
    /// Its name.
    pub customer: String,
    /// Units a second that it may use.
    pub rate: f64,
    /// Units that its calls used within the window.
    pub used: f64,
    /// Units left over all routers, as the router last told says.
    pub left: f64,
    /// Seconds since that was told; the youngest word counts.
    pub age_s: Option<f64>,
    /// Units of calls that were taken since the routers started.
    pub granted: f64,
    /// Units of calls that were refused since the routers started.
    pub refused: f64,
}

impl TableRow for CustomerRow {
    const HEADS: &'static [&'static str] =
        &["CUSTOMER", "LIMIT", "USED", "LEFT", "TOLD", "GRANTED", "REFUSED"];

    fn cells(&self) -> Vec<String> {
        let age = self.age_s.map_or_else(|| "never".to_owned(), |age| format!("{age:.1} s ago"));
        vec![
            self.customer.clone(),
            format!("{:.0}/s", self.rate),
            format!("{:.0}", self.used),
            format!("{:.0}", self.left),
            age,
            format!("{:.0}", self.granted),
            format!("{:.0}", self.refused),
        ]
    }
}

/// Sums up metrics pages of routers.
pub fn sum_customers<'a>(pages: impl Iterator<Item = &'a str>) -> Vec<CustomerRow> {
    let mut rows: BTreeMap<String, CustomerRow> = BTreeMap::new();
    for page in pages {
        let mut reports: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (name, labels, value) in page.lines().filter_map(parse_line) {
            let Some(customer) = label(labels, "customer") else { continue };
            let row = rows.entry(customer.to_owned()).or_insert_with(|| CustomerRow {
                customer: customer.to_owned(),
                ..CustomerRow::default()
            });
            match (name, label(labels, "outcome")) {
                ("plantain_customer_rate", _) => row.rate = row.rate.max(value),
                ("plantain_customer_used", _) => row.used += value,
                ("plantain_customer_units_total", Some("granted")) => row.granted += value,
                ("plantain_customer_units_total", Some("refused")) => row.refused += value,
                ("plantain_customer_left", _) => {
                    reports.entry(customer.to_owned()).or_default().0 = value;
                }
                ("plantain_customer_left_age_seconds", _) => {
                    reports.entry(customer.to_owned()).or_default().1 = value;
                }
                _ => {}
            }
        }
        for (customer, (left, age)) in reports {
            let Some(row) = rows.get_mut(&customer) else { continue };
            if row.age_s.is_none_or(|known| age < known) {
                (row.left, row.age_s) = (left, Some(age));
            }
        }
    }
    rows.into_values().collect()
}

/// Splits a line of a metrics page into name, labels and value.
fn parse_line(line: &str) -> Option<(&str, &str, f64)> {
    let (head, value) = line.rsplit_once(' ')?;
    let (name, labels) = head.split_once('{')?;
    Some((name, labels.strip_suffix('}')?, value.parse().ok()?))
}

fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let start = labels.find(&format!("{name}=\""))? + name.len() + 2;
    labels[start..].split('"').next()
}

/// Prints the table for the routers at these metrics addresses.
pub async fn carry_out(routers: &[SocketAddr], json: bool) -> Result<(), CommandError> {
    let client = HttpClient::new();
    let (mut pages, mut unreachable) = (Vec::new(), Vec::new());
    for router in routers {
        let uri = url(*router, "/metrics");
        match client.get_text(&uri, PAGE_LIMIT).await {
            Ok(page) => pages.push(page),
            Err(error) => unreachable.push(format!("{router}: {error:#}")),
        }
    }
    let rows = sum_customers(pages.iter().map(String::as_str));
    output::print_rows(&rows, json);
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(CommandError::Failed(format!("without {}", unreachable.join(", "))))
}
