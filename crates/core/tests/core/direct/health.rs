//! Failure shares and backoff of targets, and their recovery.

use super::support::ms;
use plantain_core::direct::health::{CallOutcome, TargetHealth};

struct HistoryCase {
    name: &'static str,
    outcomes: &'static [(u64, CallOutcome)],
    at: u64,
    is_backing_off: bool,
    failure_share: std::ops::Range<f64>,
}

#[test]
fn outcomes_determine_failure_share_and_backoff() {
    use CallOutcome::{Answered, Failed, Silent};
    let cases = [
        HistoryCase {
            name: "new",
            outcomes: &[],
            at: 0,
            is_backing_off: false,
            failure_share: 0.0..0.001,
        },
        HistoryCase {
            name: "a single failure weighs little",
            outcomes: &[(0, Failed)],
            at: 0,
            is_backing_off: false,
            failure_share: 0.1..0.3,
        },
        HistoryCase {
            name: "failing for half a second",
            outcomes: &[(0, Failed), (100, Failed), (200, Failed), (300, Failed), (400, Failed)],
            at: 400,
            is_backing_off: false,
            failure_share: 0.4..0.7,
        },
        HistoryCase {
            name: "failed long ago",
            outcomes: &[(0, Failed), (100, Failed), (200, Failed), (300, Failed), (400, Failed)],
            at: 12_000,
            is_backing_off: false,
            failure_share: 0.0..0.02,
        },
        HistoryCase {
            name: "silent",
            outcomes: &[(0, Answered), (100, Silent)],
            at: 300,
            is_backing_off: true,
            failure_share: 0.1..0.3,
        },
        HistoryCase {
            name: "after the backoff",
            outcomes: &[(0, Answered), (100, Silent)],
            at: 601,
            is_backing_off: false,
            failure_share: 0.1..0.3,
        },
        HistoryCase {
            name: "silent again after the first backoff",
            outcomes: &[(0, Silent), (600, Silent)],
            at: 1_500,
            is_backing_off: true,
            failure_share: 0.1..0.5,
        },
        HistoryCase {
            name: "an answer resets the backoff",
            outcomes: &[(0, Silent), (600, Silent), (1_800, Answered), (1_900, Silent)],
            at: 2_500,
            is_backing_off: false,
            failure_share: 0.1..0.5,
        },
    ];
    for case in cases {
        let mut health = TargetHealth::default();
        for (at, outcome) in case.outcomes {
            health.record(*outcome, ms(*at));
        }
        assert_eq!(health.is_backing_off(ms(case.at)), case.is_backing_off, "{}", case.name);
        let share = health.failure_share(ms(case.at));
        assert!(case.failure_share.contains(&share), "{}: {share}", case.name);
    }
}
