//! Sums over routers' metrics pages.

use plantainctl::commands::customers::{CustomerRow, sum_customers};

const FIRST: &str = r#"# TYPE plantain_customer_units_total counter
plantain_customer_units_total{customer="temple",outcome="granted"} 700
plantain_customer_units_total{customer="temple",outcome="refused"} 50
plantain_customer_units_total{customer="guide",outcome="granted"} 3
plantain_customer_rate{customer="temple"} 100
plantain_customer_used{customer="temple"} 90
plantain_customer_left{customer="temple"} 40
plantain_customer_left_age_seconds{customer="temple"} 2.5
plantain_requests_total{outcome="served"} 12
"#;
const SECOND: &str = r#"plantain_customer_units_total{customer="temple",outcome="granted"} 300
plantain_customer_rate{customer="temple"} 100
plantain_customer_used{customer="temple"} 10
plantain_customer_left{customer="temple"} -5
plantain_customer_left_age_seconds{customer="temple"} 0.1
a line that is none
"#;

/// A customer's calls arrive at two routers. Usage is summed. The units left are not: each router reports the same
/// bucket, so the most recent report is taken.
#[test]
fn usage_is_summed_and_the_most_recent_report_of_units_left_is_taken() {
    let rows = sum_customers([FIRST, SECOND].into_iter());
    let temple = CustomerRow {
        customer: "temple".into(),
        rate: 100.0,
        used: 100.0,
        left: -5.0,
        age_s: Some(0.1),
        granted: 1_000.0,
        refused: 50.0,
    };
    let guide = CustomerRow { customer: "guide".into(), granted: 3.0, ..CustomerRow::default() };
    assert_eq!(rows, [guide, temple]);
}
