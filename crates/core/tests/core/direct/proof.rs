//! What answers prove.

use plantain_core::direct::{
    config::CallKind,
    proof::{
        AnswerHead, FailureReply, RunProof, failure_reply, judge_answer, limit_word, may_send_again,
    },
    target_limit::StatedLimit,
};

const STREAM: CallKind = CallKind::Stream { resumable: false };
const RESUMABLE: CallKind = CallKind::Stream { resumable: true };

struct AnswerCase {
    name: &'static str,
    status: u16,
    echoed: Option<&'static str>,
    signed: bool,
    not_run: bool,
    proof: RunProof,
}

#[test]
fn heads_prove_what_they_say_of_this_call_only() {
    let cases = [
        AnswerCase {
            name: "success",
            status: 200,
            echoed: Some("c1"),
            signed: true,
            not_run: false,
            proof: RunProof::Succeeded,
        },
        AnswerCase {
            name: "an earlier call's success on a kept connection",
            status: 200,
            echoed: Some("c0"),
            signed: true,
            not_run: false,
            proof: RunProof::Unknown,
        },
        AnswerCase {
            name: "an earlier call's refusal proves nothing of this one",
            status: 503,
            echoed: Some("c0"),
            signed: false,
            not_run: true,
            proof: RunProof::Unknown,
        },
        AnswerCase {
            name: "unsigned success",
            status: 200,
            echoed: Some("c1"),
            signed: false,
            not_run: false,
            proof: RunProof::Unknown,
        },
        AnswerCase {
            name: "success for nobody",
            status: 200,
            echoed: None,
            signed: true,
            not_run: false,
            proof: RunProof::Unknown,
        },
        AnswerCase {
            name: "full",
            status: 503,
            echoed: Some("c1"),
            signed: false,
            not_run: true,
            proof: RunProof::NotRun,
        },
        AnswerCase {
            name: "refused before the id was read",
            status: 400,
            echoed: None,
            signed: false,
            not_run: true,
            proof: RunProof::NotRun,
        },
        AnswerCase {
            name: "a 503 that does not say so has run",
            status: 503,
            echoed: Some("c1"),
            signed: true,
            not_run: false,
            proof: RunProof::Failed,
        },
        AnswerCase {
            name: "another life at the address",
            status: 421,
            echoed: None,
            signed: false,
            not_run: false,
            proof: RunProof::Misdirected,
        },
        AnswerCase {
            name: "failure",
            status: 500,
            echoed: Some("c1"),
            signed: true,
            not_run: false,
            proof: RunProof::Failed,
        },
    ];
    for case in cases {
        let head = AnswerHead {
            status: case.status,
            echoed_id: case.echoed.map(Into::into),
            is_signed: case.signed,
            states_not_run: case.not_run,
            instance: None,
            limit: StatedLimit::Unlimited,
        };
        assert_eq!(judge_answer("c1", &head), case.proof, "{}", case.name);
    }
}

struct LimitCase {
    name: &'static str,
    proof: RunProof,
    signed: bool,
    stated: StatedLimit,
    word: Option<StatedLimit>,
}

/// Guards against a limit that ends by an answer which does not speak for its target, as a refusal without the word.
#[test]
fn only_the_outcome_of_a_run_ends_a_limit() {
    const LIMITED: StatedLimit = StatedLimit::Limited(3.9);
    const FREE: StatedLimit = StatedLimit::Unlimited;
    let case = |name, proof, signed, stated, word| LimitCase { name, proof, signed, stated, word };
    let cases = [
        case("a success", RunProof::Succeeded, true, FREE, Some(FREE)),
        case("a run that failed", RunProof::Failed, true, FREE, Some(FREE)),
        case("an unsigned failure", RunProof::Failed, false, FREE, None),
        case("a refusal", RunProof::NotRun, false, FREE, None),
        case("a call that went astray", RunProof::Misdirected, false, FREE, None),
        case("another call's answer", RunProof::Unknown, true, FREE, None),
        case("a limited success", RunProof::Succeeded, true, LIMITED, Some(LIMITED)),
        case("a limited refusal", RunProof::NotRun, false, LIMITED, Some(LIMITED)),
        case("a limit in another call's answer", RunProof::Unknown, true, LIMITED, None),
    ];
    for case in cases {
        let head = AnswerHead {
            status: 200,
            echoed_id: None,
            is_signed: case.signed,
            states_not_run: false,
            instance: None,
            limit: case.stated,
        };
        assert_eq!(limit_word(case.proof, &head), case.word, "{}", case.name);
    }
}

struct RepeatCase {
    proof: RunProof,
    kind: CallKind,
    runs: u32,
    max_targets: u32,
    may: bool,
}

/// A call that may not be repeated broke off after it was sent: its caller sees a stamp made twice if
/// it is sent again, since the first target may have run it before the connection ended.
#[test]
fn only_proof_or_permission_sends_a_call_again() {
    use RunProof::{Failed, Misdirected, NotRun, Succeeded, Unknown};
    let case =
        |proof, kind, runs, max_targets, may| RepeatCase { proof, kind, runs, max_targets, may };
    let cases = [
        case(Unknown, CallKind::NonIdempotent, 1, 3, false),
        case(Failed, CallKind::NonIdempotent, 1, 3, false),
        case(NotRun, CallKind::NonIdempotent, 0, 1, true),
        case(Misdirected, CallKind::NonIdempotent, 0, 1, true),
        case(Unknown, STREAM, 1, 2, false),
        case(NotRun, STREAM, 0, 1, true),
        case(Unknown, RESUMABLE, 1, 2, true),
        case(Unknown, RESUMABLE, 2, 2, false),
        case(Unknown, CallKind::Idempotent, 1, 2, true),
        case(Failed, CallKind::Idempotent, 1, 2, true),
        case(Failed, CallKind::Idempotent, 2, 2, false),
        case(Unknown, CallKind::Idempotent, 1, 1, false),
        case(NotRun, CallKind::Idempotent, 2, 2, false),
        case(Succeeded, CallKind::Idempotent, 1, 3, false),
    ];
    for case in cases {
        let may = may_send_again(case.proof, case.kind, case.runs, case.max_targets);
        let RepeatCase { proof, kind, runs, max_targets, .. } = case;
        assert_eq!(may, case.may, "{proof:?} {kind:?}, {runs} of {max_targets} runs");
    }
}

struct FailureCase {
    kind: CallKind,
    status: u16,
    reply: FailureReply,
}

/// A target ran a stamp, failed, and answered 503. Handed on, the caller would read that the stamp
/// was not made and ask again.
#[test]
fn a_run_that_failed_never_reads_as_a_promise() {
    let cases = [
        FailureCase { kind: CallKind::NonIdempotent, status: 503, reply: FailureReply::Unknown },
        FailureCase { kind: STREAM, status: 429, reply: FailureReply::Unknown },
        FailureCase { kind: CallKind::NonIdempotent, status: 408, reply: FailureReply::Unknown },
        FailureCase { kind: CallKind::NonIdempotent, status: 500, reply: FailureReply::AsIs },
        FailureCase { kind: CallKind::Idempotent, status: 503, reply: FailureReply::AsIs },
        FailureCase { kind: RESUMABLE, status: 503, reply: FailureReply::AsIs },
    ];
    for case in cases {
        let reply = failure_reply(case.kind, case.status);
        assert_eq!(reply, case.reply, "{:?} {}", case.kind, case.status);
    }
}
