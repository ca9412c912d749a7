//! Tests of burn rates.

use plantain_core::{
    burn::{BurnCounts, BurnLedger, RequestOutcome, ServiceObjectives},
    priority::Priority,
};
use std::time::Duration;

fn outcome(failure: Option<&'static str>, first_byte_ms: u64, stall_ms: u64) -> RequestOutcome {
    RequestOutcome {
        priority: Priority::Upper,
        caller: "desk".into(),
        subject: "house-1".into(),
        failure,
        first_byte: Duration::from_millis(first_byte_ms),
        load_stall: Duration::from_millis(stall_ms),
    }
}

#[test]
fn windows_count_the_requests_within_them() {
    let mut ledger = BurnLedger::default();
    let objectives = ServiceObjectives::default();
    for second in 0..100 {
        ledger.record(&outcome(None, 10, 0), &objectives, Duration::from_secs(second));
    }
    ledger.record(&outcome(Some("queue_full"), 10, 0), &objectives, Duration::from_secs(100));
    ledger.record(&outcome(None, 5_000, 4_000), &objectives, Duration::from_secs(101));
    let report = ledger.report(Duration::from_secs(105));
    let minute = report.windows[&60]["upper"];
    assert!((50..=62).contains(&minute.ended), "{minute:?}");
    assert_eq!(report.windows[&600]["upper"].ended, 102);
    assert_eq!((minute.failed, minute.late, minute.stalled), (1, 1, 1));
    assert_eq!(report.subjects, [("house-1".to_owned(), 2)]);
    assert_eq!(report.reasons["queue_full"], 1);
    let later = ledger.report(Duration::from_mins(50));
    assert_eq!(later.windows[&60]["upper"].ended, 0);
    assert_eq!(later.windows[&3_600]["upper"].ended, 102);
}

struct BurnCase {
    counts: BurnCounts,
    availability: f64,
    first_byte: f64,
}

#[test]
fn burn_is_the_bad_share_over_the_budget() {
    let counts = |ended, failed, late| BurnCounts { ended, failed, late, stalled: 0 };
    let cases = [
        BurnCase { counts: counts(0, 0, 0), availability: 0.0, first_byte: 0.0 },
        BurnCase { counts: counts(1_000, 1, 0), availability: 1.0, first_byte: 0.0 },
        BurnCase { counts: counts(1_000, 10, 99), availability: 10.0, first_byte: 2.0 },
    ];
    for case in cases {
        let rates = case.counts.rates(&ServiceObjectives::default());
        assert!((rates.availability - case.availability).abs() < 1e-6, "{rates:?}");
        assert!((rates.first_byte - case.first_byte).abs() < 1e-6, "{rates:?}");
    }
}

#[test]
fn many_names_stay_bounded_and_the_worst_is_kept() {
    let mut ledger = BurnLedger::default();
    for index in 0..5_000 {
        let mut bad = outcome(Some("too_late"), 0, 0);
        bad.subject = if index % 3 == 0 { "worst".into() } else { format!("house-{index}") };
        ledger.record(&bad, &ServiceObjectives::default(), Duration::ZERO);
    }
    let report = ledger.report(Duration::ZERO);
    assert_eq!(report.subjects[0].0, "worst");
    assert!(report.subjects.len() <= 10);
}
