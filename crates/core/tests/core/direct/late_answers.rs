//! Late answers of busy and of silent engines.

use super::support::{DESK, ms, pool, report};
use plantain_core::direct::{
    late_answers::{LateCause, late_cause},
    messages::LoaderReport,
};

/// Guards against engines under load that get a backoff, and whose calls and adapters all move to other engines, which
/// are just as busy.
#[test]
fn a_late_answer_of_a_busy_engine_is_no_silence() {
    struct LateCase {
        name: &'static str,
        report: LoaderReport,
        age_ms: u64,
        cause: LateCause,
    }
    let idle = || report("e1", 1, &[("h7", 1)]);
    let cases = [
        LateCase { name: "idle", report: idle(), age_ms: 100, cause: LateCause::Unknown },
        LateCase {
            name: "calls queue",
            report: LoaderReport { queued: 1, ..idle() },
            age_ms: 100,
            cause: LateCause::Busy,
        },
        LateCase {
            name: "three quarters of the batch",
            report: LoaderReport { active: 6, ..idle() },
            age_ms: 100,
            cause: LateCause::Busy,
        },
        LateCase {
            name: "half of the batch",
            report: LoaderReport { active: 4, ..idle() },
            age_ms: 100,
            cause: LateCause::Unknown,
        },
        LateCase {
            name: "long prompts before it",
            report: LoaderReport { prefill_tokens: 60_000, ..idle() },
            age_ms: 100,
            cause: LateCause::Busy,
        },
        LateCase {
            name: "prompts that are processed by now",
            report: LoaderReport { prefill_tokens: 20_000, ..idle() },
            age_ms: 2_000,
            cause: LateCause::Unknown,
        },
        LateCase {
            name: "an old report",
            report: LoaderReport { queued: 9, ..idle() },
            age_ms: 5_000,
            cause: LateCause::Unknown,
        },
        LateCase {
            name: "an engine that does not answer its loader",
            report: LoaderReport { queued: 9, is_answering: false, ..idle() },
            age_ms: 100,
            cause: LateCause::Unknown,
        },
    ];
    for case in cases {
        let mut pool = pool();
        let host = pool.target(&"e1".into()).expect("a target").entry.address.ip();
        pool.take_report(host, case.report, ms(0));
        assert_eq!(late_cause(&pool, &"e1".into(), ms(case.age_ms)), case.cause, "{}", case.name);
    }
}

/// Guards against plain targets that hang: no report says that they answer.
#[test]
fn a_late_answer_of_a_plain_target_is_not_excused() {
    let mut pool = pool();
    for _ in 0..20 {
        pool.call_started(&"d1".into(), None, 0);
    }
    assert!(pool.service_targets(DESK).any(|target| target.in_flight == 20));
    assert_eq!(late_cause(&pool, &"d1".into(), ms(10)), LateCause::Unknown);
    assert_eq!(late_cause(&pool, &"unknown".into(), ms(10)), LateCause::Unknown);
}
