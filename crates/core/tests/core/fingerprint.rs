//! Tests of call fingerprints.

use plantain_core::fingerprint::call_fingerprint;

struct PairCase {
    change: &'static str,
    first: [&'static str; 4],
    second: [&'static str; 4],
    is_same: bool,
}

#[test]
fn only_the_same_content_has_the_same_fingerprint() {
    let first = ["POST", "gate.example", "/chat/1", "question"];
    let cases = [
        PairCase { change: "the same", first, second: first, is_same: true },
        PairCase {
            change: "another method",
            first,
            second: ["PUT", "gate.example", "/chat/1", "question"],
            is_same: false,
        },
        PairCase {
            change: "another host",
            first,
            second: ["POST", "tower.example", "/chat/1", "question"],
            is_same: false,
        },
        PairCase {
            change: "another query",
            first,
            second: ["POST", "gate.example", "/chat/1?again", "question"],
            is_same: false,
        },
        PairCase {
            change: "a byte that moved from the body to the path",
            first,
            second: ["POST", "gate.example", "/chat/1q", "uestion"],
            is_same: false,
        },
    ];
    for case in cases {
        let [first, second] = [case.first, case.second].map(|[method, host, path, body]| {
            call_fingerprint(method, host, path, body.as_bytes())
        });
        assert_eq!(first == second, case.is_same, "{}", case.change);
    }
}
