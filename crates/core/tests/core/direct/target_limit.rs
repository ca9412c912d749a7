//! Limits that targets state in their answers.

use plantain_core::direct::target_limit::{KnownLimit, StatedLimit};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct AnswerStep {
    stated: StatedLimit,
    sent: Duration,
    came: Duration,
    rate: Option<f64>,
}

struct OrderCase {
    name: &'static str,
    steps: Vec<AnswerStep>,
}

const fn step(stated: StatedLimit, sent: u64, came: u64, rate: Option<f64>) -> AnswerStep {
    AnswerStep { stated, sent: ms(sent), came: ms(came), rate }
}

/// Guards against a limit that ends by an answer which was under way before the limit was stated.
#[test]
fn answers_that_overtake_each_other_end_no_limit() {
    const LIMITED: StatedLimit = StatedLimit::Limited(3.9);
    const LOWER: StatedLimit = StatedLimit::Limited(0.2);
    const FREE: StatedLimit = StatedLimit::Unlimited;
    let cases = [
        OrderCase {
            name: "a slow answer from before",
            steps: vec![step(LIMITED, 100, 150, Some(3.9)), step(FREE, 90, 900, Some(3.9))],
        },
        OrderCase {
            name: "an answer to a call that was sent before the word came",
            steps: vec![step(LIMITED, 100, 150, Some(3.9)), step(FREE, 140, 200, Some(3.9))],
        },
        OrderCase {
            name: "withdrawn",
            steps: vec![step(LIMITED, 100, 150, Some(3.9)), step(FREE, 160, 200, None)],
        },
        OrderCase {
            name: "changed",
            steps: vec![step(LIMITED, 100, 150, Some(3.9)), step(LOWER, 90, 200, Some(0.2))],
        },
        OrderCase {
            name: "unreadable",
            steps: vec![
                step(LIMITED, 100, 150, Some(3.9)),
                step(StatedLimit::Unreadable, 160, 200, Some(3.9)),
            ],
        },
        OrderCase {
            name: "withdrawn and stated again",
            steps: vec![
                step(LIMITED, 100, 150, Some(3.9)),
                step(FREE, 160, 200, None),
                step(LIMITED, 210, 250, Some(3.9)),
            ],
        },
    ];
    for case in cases {
        let mut known = KnownLimit::default();
        for (index, step) in case.steps.iter().enumerate() {
            let before = known.rate;
            let is_changed = known.record(step.stated, step.sent, step.came);
            assert_eq!(known.rate, step.rate, "{}, step {index}", case.name);
            assert_eq!(is_changed, before != step.rate, "{}, step {index}", case.name);
        }
    }
}
