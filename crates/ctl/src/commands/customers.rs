//! Customers' usage of their limits, summed over routers' metrics pages.

use super::CommandError;
use crate::output::{self, TableRow};
use plantain_net::client::{HttpClient, url};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time limit for reading a router's metrics page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// One customer's usage, summed over the routers that were queried.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerRow {
    /// Name of the customer.
    pub customer: String,
    /// Limit in units per second; 0 if no router reports one.
    pub rate: f64,
    /// Units used within the window, summed over the routers.
    pub used: f64,
    /// Units left for all routers together, as in the most recent value that a router received.
    pub left: f64,
    /// Age of `left` in seconds; `None` if no router has received a value.
    pub age_s: Option<f64>,
    /// Units of admitted calls since the routers started.
    pub granted: f64,
    /// Units of refused calls since the routers started.
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

/// Sums the customers' metrics of several routers' pages. `left` is taken from the most recent report.
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

/// Splits a line of a metrics page into name, labels and value; `None` if it is no sample with labels.
fn parse_line(line: &str) -> Option<(&str, &str, f64)> {
    let (head, value) = line.rsplit_once(' ')?;
    let (name, labels) = head.split_once('{')?;
    Some((name, labels.strip_suffix('}')?, value.parse().ok()?))
}

fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let start = labels.find(&format!("{name}=\""))? + name.len() + 2;
    labels[start..].split('"').next()
}

/// Prints the table of customers for the routers at these metrics addresses; fails if one did not answer.
pub async fn execute(routers: &[SocketAddr], json: bool) -> Result<(), CommandError> {
    let client = HttpClient::new();
    let (mut pages, mut unreachable) = (Vec::new(), Vec::new());
    for router in routers {
        let uri = url(*router, "/metrics");
        match client.get_text(&uri, PAGE_TIMEOUT).await {
            Ok(page) => pages.push(page),
            Err(error) => unreachable.push(format!("{router}: {error:#}")),
        }
    }
    let rows = sum_customers(pages.iter().map(String::as_str));
    output::print_rows(&rows, json);
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(CommandError::Failed(format!("no metrics from {}", unreachable.join(", "))))
}
