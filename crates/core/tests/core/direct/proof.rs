//! What a target's answer, or its absence, proves about the run of a call.

use plantain_core::direct::{
    config::CallKind,
    proof::{
        AnswerHead, FailureReply, FinalOutcome, RunProof, classify_answer, counts_as_run,
        failure_reply, final_outcome, limit_from_answer, may_send_again,
    },
    target_limit::AdvertisedLimit,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

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

fn answer_cases() -> Vec<AnswerCase> {
    vec![
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
            name: "an earlier call's refusal proves nothing about this one",
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
            name: "success without a call's id",
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
            name: "a 503 that does not declare that the call was not run",
            status: 503,
            echoed: Some("c1"),
            signed: true,
            not_run: false,
            proof: RunProof::Failed,
        },
        AnswerCase {
            name: "another incarnation at the address",
            status: 421,
            echoed: None,
            signed: false,
            not_run: false,
            proof: RunProof::Misdirected,
        },
        AnswerCase {
            name: "the target's own time limit has passed",
            status: 504,
            echoed: Some("c1"),
            signed: false,
            not_run: false,
            proof: RunProof::Failed,
        },
        AnswerCase {
            name: "failure",
            status: 500,
            echoed: Some("c1"),
            signed: true,
            not_run: false,
            proof: RunProof::Failed,
        },
    ]
}

#[test]
fn heads_prove_nothing_about_other_calls() {
    let cases = answer_cases();
    for case in cases {
        let head = AnswerHead {
            status: case.status,
            echoed_id: case.echoed.map(Into::into),
            is_signed: case.signed,
            declares_not_run: case.not_run,
            instance: None,
            limit: AdvertisedLimit::Unlimited,
            is_draining: false,
            backoff: None,
        };
        assert_eq!(classify_answer("c1", &head), case.proof, "{}", case.name);
    }
}

struct LimitCase {
    name: &'static str,
    proof: RunProof,
    signed: bool,
    advertised: AdvertisedLimit,
    expected: Option<AdvertisedLimit>,
}

/// Guards against a limit that is removed by an answer that does not prove it, such as a refusal without a limit.
#[test]
fn only_the_outcome_of_a_run_ends_a_limit() {
    const LIMITED: AdvertisedLimit = AdvertisedLimit::Limited(3.9);
    const FREE: AdvertisedLimit = AdvertisedLimit::Unlimited;
    let case = |name, proof, signed, advertised, expected| LimitCase {
        name,
        proof,
        signed,
        advertised,
        expected,
    };
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
            declares_not_run: false,
            instance: None,
            limit: case.advertised,
            is_draining: false,
            backoff: None,
        };
        assert_eq!(limit_from_answer(case.proof, &head), case.expected, "{}", case.name);
    }
}

struct RetryCase {
    proof: RunProof,
    kind: CallKind,
    runs: u32,
    max_targets: u32,
    may: bool,
}

/// The connection broke after a call that may not be retried was sent. The first target may have run it: if it
/// were sent again, it could run twice.
#[test]
fn only_proof_or_an_idempotent_kind_allows_a_retry() {
    use RunProof::{Failed, Misdirected, NotRun, Succeeded, Unknown};
    let case =
        |proof, kind, runs, max_targets, may| RetryCase { proof, kind, runs, max_targets, may };
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
        let RetryCase { proof, kind, runs, max_targets, .. } = case;
        assert_eq!(may, case.may, "{proof:?} {kind:?}, {runs} of {max_targets} runs");
    }
}

struct FailureCase {
    kind: CallKind,
    status: u16,
    reply: FailureReply,
}

/// A target ran a call, failed, and answered 503. If the router passed the 503 on, it would guarantee the caller that
/// the call did not run, and the caller would send it again.
#[test]
fn a_failed_run_never_guarantees_that_it_did_not_run() {
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

/// What a simulated target does with a call, and what the router receives.
#[derive(Clone, Copy, Debug)]
enum TargetBehaviour {
    /// The target cannot be reached.
    Unreached,
    /// The target is full, draining, or limited, and declares that it did not run the call.
    Refuses { status: u16 },
    /// Another incarnation answers at the address.
    IsAnother,
    /// The target runs the call and answers.
    Runs { status: u16, is_signed: bool },
    /// The target runs the call, at once or late, but no answer arrives: the answer is lost, the connection reset, or
    /// the target frozen.
    RunsUnanswered,
    /// The target runs the call, but answers an earlier one in its place.
    AnswersAnother { declares_not_run: bool },
}

impl Arbitrary for TargetBehaviour {
    fn arbitrary(g: &mut Gen) -> Self {
        let statuses = [200, 200, 408, 421, 429, 500, 502, 503, 504];
        let status = *g.choose(&statuses).unwrap_or(&200);
        match u8::arbitrary(g) % 8 {
            0 => Self::Unreached,
            1 | 2 => Self::Refuses { status: *g.choose(&[400, 429, 503]).unwrap_or(&503) },
            3 => Self::IsAnother,
            // A target that runs a call never answers that it is another one.
            4 | 5 => {
                let status = if status == 421 { 500 } else { status };
                Self::Runs { status, is_signed: bool::arbitrary(g) }
            }
            6 => Self::RunsUnanswered,
            _ => Self::AnswersAnother { declares_not_run: bool::arbitrary(g) },
        }
    }
}

impl TargetBehaviour {
    fn runs(self) -> bool {
        matches!(self, Self::Runs { .. } | Self::RunsUnanswered | Self::AnswersAnother { .. })
    }

    /// What the router concludes from this behaviour.
    fn proof(self) -> RunProof {
        let head = |status, echoed: &str, is_signed, declares_not_run| AnswerHead {
            status,
            echoed_id: Some(echoed.into()),
            is_signed,
            declares_not_run,
            instance: None,
            limit: AdvertisedLimit::Unlimited,
            is_draining: false,
            backoff: None,
        };
        match self {
            Self::Unreached => RunProof::NotRun,
            Self::Refuses { status } => classify_answer("c1", &head(status, "c1", false, true)),
            Self::IsAnother => classify_answer("c1", &head(421, "c1", false, false)),
            Self::Runs { status, is_signed } => {
                classify_answer("c1", &head(status, "c1", is_signed, false))
            }
            Self::RunsUnanswered => RunProof::Unknown,
            Self::AnswersAnother { declares_not_run } => {
                classify_answer("c1", &head(503, "c0", true, declares_not_run))
            }
        }
    }

    /// The status that the router passes to the caller unchanged, if any.
    fn relayed(self, kind: CallKind) -> Option<u16> {
        match self {
            Self::Runs { status, .. } if self.proof() == RunProof::Failed => {
                (failure_reply(kind, status) == FailureReply::AsIs).then_some(status)
            }
            _ => None,
        }
    }
}

/// Guards against answering a caller that its call did not run although a target ran it or will, so that the
/// caller sends it again: for any behaviour of targets and any number of sends.
#[test]
fn a_call_that_ran_is_never_answered_as_not_run() {
    fn holds(behaviours: Vec<TargetBehaviour>, targets: u8, has_time: bool) -> bool {
        [CallKind::NonIdempotent, STREAM].into_iter().all(move |kind| {
            let max_targets = u32::from(targets % 4);
            let (mut runs, mut ran, mut relayed) = (0, 0, None);
            for behaviour in &behaviours {
                let proof = behaviour.proof();
                ran += u32::from(behaviour.runs());
                runs += u32::from(counts_as_run(proof));
                relayed = behaviour.relayed(kind);
                if !may_send_again(proof, kind, runs, max_targets) {
                    break;
                }
            }
            let guarantees_not_run = match relayed {
                Some(status) => [408, 421, 429, 503].contains(&status),
                None => final_outcome(runs, has_time) == FinalOutcome::NotRun,
            };
            ran <= 1 && !(guarantees_not_run && ran > 0)
        })
    }
    quickcheck(holds as fn(Vec<TargetBehaviour>, u8, bool) -> bool);
}
