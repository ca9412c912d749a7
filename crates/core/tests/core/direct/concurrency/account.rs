//! The account of one router, with grants made by hand.

use plantain_core::{
    direct::{
        concurrency::{
            account::{SlotAccount, SlotCall, SlotDecision, SlotResult, SlotTicket},
            messages::{AllowedSlots, SlotGrant, SlotReport, SlotUse},
        },
        membership::InstanceId,
        messages::{LoaderMessage, RouterMessage, decode_datagram},
    },
    ids::Timestamp,
};
use serde::Deserialize;
use std::time::Duration;

const SERVICE: u64 = 5;
const NEAR: u64 = 1;
const FAR: u64 = 2;

fn ms(millis: u64) -> Timestamp {
    Duration::from_millis(millis)
}

fn loader() -> InstanceId {
    "engine".into()
}

fn call(priority: u8, began: u64, targets: &[u64]) -> SlotCall {
    SlotCall {
        targets: targets.to_vec(),
        priority,
        began: ms(began),
        objective: ms(150),
        deadline: ms(began + 2_000),
    }
}

/// Sends the reports that are due at `now`, and applies an answer that allows these slots.
fn exchange(account: &mut SlotAccount, allowed: &[(u64, u16)], waiting: u32, now: u64) {
    let reports = account.take_reports(ms(now));
    let (_, report) = reports.first().expect("a due report");
    let targets = allowed.iter().map(|&(tag, allowed)| AllowedSlots { tag, allowed }).collect();
    let sequence = report.sequence;
    let number = report.applied + 1;
    let grant = SlotGrant { service: SERVICE, sequence, targets, waiting, number };
    account.take_grant(&loader(), &grant, ms(now));
}

/// An account of two targets with six slots each, with a first grant of one slot at the near one, at 10 ms.
fn started() -> SlotAccount {
    started_among(0)
}

/// The same, while calls wait at all routers.
fn started_among(waiting: u32) -> SlotAccount {
    let mut account = SlotAccount::new(9, SERVICE, ms(0));
    account.set_fleet(&[(NEAR, 6), (FAR, 6)], &[loader()], 30);
    account.set_first_run(30.0);
    exchange(&mut account, &[(NEAR, 1)], waiting, 10);
    account
}

fn ticket(result: SlotResult) -> SlotTicket {
    match result {
        SlotResult::Waiting(ticket) => ticket,
        SlotResult::Decided(decision) => panic!("decided: {decision:?}"),
    }
}

/// Guards against calls of a lower priority, or later ones, that start before others.
#[test]
fn waiting_calls_start_by_priority_and_age() {
    let mut account = started();
    assert_eq!(
        account.request(call(0, 10, &[NEAR]), ms(10)),
        SlotResult::Decided(SlotDecision::Start(NEAR))
    );
    let low = ticket(account.request(call(1, 11, &[NEAR]), ms(11)));
    let late = ticket(account.request(call(0, 13, &[NEAR]), ms(13)));
    let early = ticket(account.request(call(0, 12, &[NEAR]), ms(14)));
    let mut order = Vec::new();
    for now in [20, 30, 40] {
        account.release(NEAR, Some(ms(10)), ms(now));
        order.extend(account.take_decided());
    }
    let start = SlotDecision::Start(NEAR);
    assert_eq!(order, [(early, start), (late, start), (low, start)]);
}

/// Guards against a slot that is leaked when the caller leaves between the decision and its delivery.
#[test]
fn a_cancelled_call_returns_its_slot() {
    let mut account = started();
    account.request(call(0, 10, &[NEAR]), ms(10));
    let waiting = ticket(account.request(call(0, 11, &[NEAR]), ms(11)));
    account.release(NEAR, None, ms(20));
    account.cancel(waiting);
    assert!(account.take_decided().is_empty());
    assert_eq!(account.view(ms(20)).in_use, 0);
}

struct RefusalCase {
    name: &'static str,
    /// Time left of the objective when the call arrives.
    objective: u64,
    /// Time left until it must have started.
    deadline: u64,
    /// Calls that wait before it.
    ahead: usize,
    /// Calls that wait at all routers, by the last grant.
    fleet: u32,
    is_refused: bool,
}

/// Guards against calls that wait although they cannot be served in time, and against refusals of calls that can.
#[test]
fn calls_that_would_be_late_are_refused_at_once() {
    let case = |name, objective, deadline, ahead, fleet, is_refused| RefusalCase {
        name,
        objective,
        deadline,
        ahead,
        fleet,
        is_refused,
    };
    let cases = [
        case("time for the run", 150, 2_000, 0, 40, false),
        case("two calls before it", 150, 2_000, 2, 40, false),
        case("too many calls before it", 150, 2_000, 4, 40, true),
        case("as many, but slots are free elsewhere", 150, 2_000, 4, 0, false),
        case("the deadline comes before its turn", 300, 20, 1, 40, true),
        case("an objective below the run time", 10, 2_000, 0, 40, false),
    ];
    for case in cases {
        let mut account = started_among(case.fleet);
        account.request(call(0, 30, &[NEAR]), ms(30));
        for _ in 0..case.ahead {
            let patient = SlotCall { objective: ms(5_000), ..call(0, 30, &[NEAR]) };
            ticket(account.request(patient, ms(30)));
        }
        let own = SlotCall {
            objective: ms(case.objective),
            deadline: ms(30 + case.deadline),
            ..call(0, 30, &[NEAR])
        };
        let result = account.request(own, ms(30));
        let is_refused = matches!(result, SlotResult::Decided(SlotDecision::Refused { .. }));
        assert_eq!(is_refused, case.is_refused, "{}: {result:?}", case.name);
    }
}

/// Guards against calls that wait for a coordinator that does not answer, and against slots that it granted before.
#[test]
fn calls_are_not_managed_while_no_coordinator_answers() {
    let mut account = started();
    account.request(call(0, 10, &[NEAR]), ms(10));
    let patient = SlotCall { objective: ms(2_000), ..call(0, 11, &[NEAR]) };
    let waiting = ticket(account.request(patient, ms(11)));
    assert_eq!(account.take_reports(ms(20)).len(), 1);
    let mut decided = Vec::new();
    for now in 20..400 {
        account.take_reports(ms(now));
        decided.extend(account.take_decided().into_iter().map(|decision| (now, decision)));
    }
    assert_eq!(decided.len(), 1, "{decided:?}");
    assert_eq!(decided[0].1, (waiting, SlotDecision::Unmanaged));
    assert!(decided[0].0 <= 20 + 250, "at {} ms", decided[0].0);
    let result = account.request(call(0, 400, &[NEAR]), ms(400));
    assert_eq!(result, SlotResult::Decided(SlotDecision::Unmanaged));
}

/// Guards against a target that is gone and stays in the reports, or whose slots are still used.
#[test]
fn a_target_that_is_gone_leaves_the_report() {
    let mut account = started();
    account.request(call(0, 10, &[NEAR]), ms(10));
    account.set_fleet(&[(FAR, 6)], &[loader()], 30);
    let (_, report) = account.take_reports(ms(20)).remove(0);
    let tags: Vec<u64> = report.targets.iter().map(|target| target.tag).collect();
    assert_eq!(tags, [FAR]);
    account.release(NEAR, None, ms(21));
    assert_eq!(account.view(ms(21)).in_use, 0);
    ticket(account.request(call(0, 22, &[NEAR, FAR]), ms(22)));
}

/// Guards against an old grant that arrives late and gives slots that were taken back.
#[test]
fn an_old_grant_is_ignored() {
    let mut account = started();
    account.request(call(0, 10, &[NEAR]), ms(10));
    ticket(account.request(call(0, 11, &[NEAR]), ms(11)));
    let reports = account.take_reports(ms(20));
    let sequence = reports[0].1.sequence;
    let grant = |number, allowed| SlotGrant {
        service: SERVICE,
        sequence,
        targets: vec![AllowedSlots { tag: NEAR, allowed }],
        waiting: 1,
        number,
    };
    account.take_grant(&loader(), &grant(8, 1), ms(21));
    account.take_grant(&loader(), &grant(7, 2), ms(22));
    assert!(account.take_decided().is_empty());
    assert_eq!(account.view(ms(22)).allowed, 1);
}

/// Variants that a router or loader of an older build knows.
#[derive(Debug, Deserialize)]
enum OldMessage {
    Notice(()),
    Presence(()),
    Usage(()),
}

#[derive(Debug, Deserialize)]
enum OldLoaderMessage {
    Report(()),
    Directory(()),
    Grant(()),
    Presence(()),
}

/// Guards against datagrams that an older build takes for others, and against large ones.
#[test]
fn messages_are_small_and_unreadable_for_older_builds() {
    let targets = (1..=6_u64).map(|tag| SlotUse {
        tag: tag.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        slots: 6,
        in_use: 3,
        run_ms: 45,
    });
    let report = SlotReport {
        boot: u64::MAX,
        sequence: 1 << 20,
        service: u64::MAX,
        targets: targets.collect(),
        waiting: 40,
        applied: 1 << 16,
    };
    let allowed = report.targets.iter().map(|used| AllowedSlots { tag: used.tag, allowed: 3 });
    let grant = SlotGrant {
        service: u64::MAX,
        sequence: 1 << 20,
        targets: allowed.collect(),
        waiting: 400,
        number: 1 << 16,
    };
    let (report, grant) = (RouterMessage::Slots(report), LoaderMessage::Slots(grant));
    let sent = postcard::to_allocvec(&report).expect("encoded");
    assert!(sent.len() <= 120, "{} bytes", sent.len());
    assert_eq!(decode_datagram::<RouterMessage>(&sent).expect("decoded"), report);
    decode_datagram::<OldMessage>(&sent).expect_err("unknown");
    let sent = postcard::to_allocvec(&grant).expect("encoded");
    assert!(sent.len() <= 100, "{} bytes", sent.len());
    assert_eq!(decode_datagram::<LoaderMessage>(&sent).expect("decoded"), grant);
    decode_datagram::<OldLoaderMessage>(&sent).expect_err("unknown");
}
