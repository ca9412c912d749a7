//! How much adapters are wanted over the fleet.

use super::support::{adapter, ms, report};
use plantain_core::direct::{
    demand::{FleetDemand, encode_rate},
    messages::LoaderReport,
};
use std::ops::Range;

struct DemandCase {
    name: &'static str,
    routers: usize,
    /// Times of this router's calls, in milliseconds, the last one being the call in question.
    calls: Vec<u64>,
    /// Rates that loaders report.
    reported: Vec<f64>,
    rate: Range<f64>,
}

/// Thirty routers get the calls for thousands of rare adapters, each router a few a minute. A call that
/// has just come, taken for a thirtieth of the demand, gave every rare adapter three copies: twice the
/// loads, and places of engines taken from adapters that are wanted. One that many callers want all of a
/// sudden must get copies before any loader has told of it.
#[test]
fn rare_adapters_get_one_copy_and_sudden_ones_several() {
    let cases = [
        DemandCase {
            name: "one call at one of thirty routers",
            routers: 30,
            calls: vec![1_000],
            reported: vec![],
            rate: 0.0..0.1,
        },
        DemandCase {
            name: "a call every four seconds",
            routers: 30,
            calls: (1..10).map(|call| call * 4_000).collect(),
            reported: vec![],
            rate: 0.0..3.0,
        },
        DemandCase {
            name: "wanted suddenly: six calls at this router within half a second",
            routers: 30,
            calls: (0..6).map(|call| 1_000 + call * 100).collect(),
            reported: vec![],
            rate: 70.0..130.0,
        },
        DemandCase {
            name: "steady, as loaders say",
            routers: 30,
            calls: vec![1_000],
            reported: vec![6.0, 5.5],
            rate: 11.4..11.6,
        },
        DemandCase {
            name: "a small fleet sees most by itself",
            routers: 2,
            calls: (0..100).map(|call| call * 100).collect(),
            reported: vec![],
            rate: 15.0..25.0,
        },
    ];
    for case in cases {
        let mut demand = FleetDemand::default();
        let wanted = adapter("h7");
        for call in &case.calls {
            demand.record(&wanted, ms(*call));
        }
        let reports: Vec<LoaderReport> = case
            .reported
            .iter()
            .map(|rate| {
                let rates = vec![encode_rate(*rate), encode_rate(1.0)];
                LoaderReport { rates, ..report("e1", 1, &[("h7", 1), ("h8", 1)]) }
            })
            .collect();
        demand.take_reports(reports.iter());
        let now = ms(case.calls.last().copied().unwrap_or(0));
        let rate = demand.rate(&wanted, case.routers, now);
        assert!(case.rate.contains(&rate), "{}: {rate}", case.name);
    }
}

/// A loader falls silent, or its engine is gone. What it reported must not count for ever.
#[test]
fn rates_are_forgotten_with_their_reports() {
    let mut demand = FleetDemand::default();
    let hot = LoaderReport { rates: vec![encode_rate(50.0)], ..report("e1", 1, &[("h7", 1)]) };
    demand.take_reports([&hot].into_iter());
    assert_eq!(demand.wanted(5.0, 2, ms(0)), vec![adapter("h7")]);
    demand.take_reports(std::iter::empty());
    assert!(demand.wanted(5.0, 2, ms(0)).is_empty());
}
