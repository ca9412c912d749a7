//! Tests of the checks on server-sent events of engines.

use plantain_core::events::{EventError, EventScanner, check_answer};
use quickcheck::QuickCheck;

const ANSWER: &str = "data: {\"model\":\"a@1\",\"choices\":[]}\n\ndata: {\"model\":\"a@1\"}\n\n\
                      data: [DONE]\n\n";

/// However the network splits an answer into chunks, the same bytes are forwarded, and only as complete
/// lines.
#[test]
fn chunks_of_any_size_give_the_same_answer() {
    fn property(cuts: Vec<u8>) -> bool {
        let mut scanner = EventScanner::new("a@1".into());
        let mut rest = ANSWER.as_bytes();
        let mut out = Vec::new();
        for cut in cuts {
            let (piece, left) = rest.split_at(usize::from(cut).min(rest.len()));
            rest = left;
            let lines = scanner.push(piece).expect("a right answer");
            if !(lines.is_empty() || lines.ends_with(b"\n")) {
                return false;
            }
            out.extend_from_slice(&lines);
        }
        out.extend_from_slice(&scanner.push(rest).expect("a right answer"));
        out == ANSWER.as_bytes() && scanner.has_ended()
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

struct EventCase {
    line: &'static str,
    error: fn(&EventError) -> bool,
}

#[test]
fn events_of_another_model_or_malformed_are_refused() {
    let cases = [
        EventCase {
            line: "data: {\"model\":\"a@2\"}\n",
            error: |error| matches!(error, EventError::WrongModel(model) if model == "a@2"),
        },
        EventCase {
            line: "data: {\"choices\":[]}\n",
            error: |error| matches!(error, EventError::WrongModel(_)),
        },
        EventCase {
            line: "data: not json\n",
            error: |error| matches!(error, EventError::Malformed(_)),
        },
    ];
    for case in cases {
        let mut scanner = EventScanner::new("a@1".into());
        let error = scanner.push(case.line.as_bytes()).expect_err(case.line);
        assert!((case.error)(&error), "{}: {error}", case.line);
    }
    assert!(check_answer("a@1", b"{\"model\":\"a@1\"}").is_ok());
    assert!(check_answer("a@1", b"{\"model\":\"b@1\"}").is_err());
    assert!(check_answer("a@1", b"").is_err());
}
