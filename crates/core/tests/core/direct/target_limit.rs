//! Rate limits that targets advertise in their answers.

use super::{
    customers::fleet::{
        LimitFleet, check_seeds, refused_share, send_calls, unfrozen_router, worst_window,
    },
    support::{ms, usage_report},
};
use plantain_core::direct::{
    limits::{
        messages::UsageRequest,
        meter::UsageMeter,
        terms::{FleetSize, LimitShares},
    },
    target_limit::{AdvertisedLimit, KnownLimit, LimitTable, LimitUpdate, target_rule},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Duration of a load, in seconds.
const SECONDS: u64 = 30;
/// Window over which a limit must hold.
const WINDOW: Duration = Duration::from_secs(4);

/// An answer that advertises a limit, and the rate that the router must enforce after it.
struct AnswerStep {
    advertised: AdvertisedLimit,
    sent: Duration,
    received: Duration,
    rate: Option<f64>,
}

struct OrderCase {
    name: &'static str,
    steps: Vec<AnswerStep>,
}

fn step(advertised: AdvertisedLimit, sent: u64, received: u64, rate: Option<f64>) -> AnswerStep {
    AnswerStep { advertised, sent: ms(sent), received: ms(received), rate }
}

/// Guards against a limit that is dropped because of an answer that was in transit when the limit was advertised.
#[test]
fn answers_that_overtake_each_other_end_no_limit() {
    const LIMITED: AdvertisedLimit = AdvertisedLimit::Limited(3.9);
    const LOWER: AdvertisedLimit = AdvertisedLimit::Limited(0.2);
    const FREE: AdvertisedLimit = AdvertisedLimit::Unlimited;
    let cases = [
        OrderCase {
            name: "a slow answer from before",
            steps: vec![step(LIMITED, 100, 150, Some(3.9)), step(FREE, 90, 900, Some(3.9))],
        },
        OrderCase {
            name: "an answer to a call that was sent before the limit arrived",
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
                step(AdvertisedLimit::Unreadable, 160, 200, Some(3.9)),
            ],
        },
        OrderCase {
            name: "withdrawn and advertised again",
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
            let is_changed = known.record(step.advertised, step.sent, step.received);
            assert_eq!(known.rate, step.rate, "{}, step {index}", case.name);
            assert_eq!(is_changed, before != step.rate, "{}, step {index}", case.name);
        }
    }
}

/// Maximum of requests that a target may get in any window.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

struct FleetCase {
    name: &'static str,
    routers: usize,
    meters: usize,
    rate: f64,
    /// Calls a second that are offered to the target.
    calls: f64,
    /// Part of the limit that must be used.
    used: f64,
}

/// Guards against hundreds of routers that each enforce the limit alone or round their shares: together they would
/// send many times what the target accepts, or almost nothing.
#[test]
fn hundreds_of_routers_use_one_limit() {
    let case = |name, routers, meters, rate, calls, used| FleetCase {
        name,
        routers,
        meters,
        rate,
        calls,
        used,
    };
    let cases = [
        case("a few routers", 4, 8, 3.9, 40.0, 0.8),
        case("330 routers", 330, 14, 3.9, 40.0, 0.8),
        case("330 routers and a limit below one", 330, 14, 0.2, 40.0, 0.7),
        case("330 routers and a high limit", 330, 14, 60.0, 200.0, 0.8),
        case("below the limit", 330, 14, 60.0, 20.0, 0.0),
        case("no meter", 4, 0, 3.9, 40.0, 0.2),
        case("330 routers and no meter", 330, 0, 3.9, 400.0, 0.2),
        case("330 routers, no meter and a limit below one", 330, 0, 0.2, 400.0, 0.0),
    ];
    for case in cases {
        let rule = target_rule(case.rate);
        let mut fleet = LimitFleet::with_rule(case.routers, case.meters, &rule, 1);
        send_calls(&mut fleet, case.calls, (1, 1), SECONDS, |rng, _| {
            rng.random_range(0..case.routers)
        });
        let worst = worst_window(&fleet.records, WINDOW);
        assert!(worst <= allowed(case.rate), "{}: {worst} in a window", case.name);
        let ran = fleet.records.iter().filter(|call| call.is_run).count() as f64;
        let full = case.rate * SECONDS as f64;
        assert!(ran >= case.used * full, "{}: {ran} of {full}", case.name);
        println!(
            "{}: worst window {worst} of {:.1}, {:.2} of the limit used, {:.0} datagrams and {:.0} bytes a second",
            case.name,
            allowed(case.rate),
            ran / full,
            fleet.sent as f64 / SECONDS as f64,
            fleet.bytes as f64 / SECONDS as f64,
        );
        let refused = refused_share(&fleet.records, fleet.now().saturating_sub(ms(20_000)));
        assert!(case.calls > case.rate || refused < 0.02, "{}: {refused} refused", case.name);
    }
}

fn simulate(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let routers = if rng.random_bool(0.1) { 120 } else { rng.random_range(1..12) };
    let meters = rng.random_range(0..6);
    let rate = 10_f64.powf(rng.random_range(-1.0..2.0));
    let mut fleet = LimitFleet::with_rule(routers, meters, &target_rule(rate), seed);
    // With meters, routers learn of each other from the loaders that run them.
    fleet.is_store_only = meters == 0;
    fleet.loss = if rng.random_bool(0.5) { 0.0 } else { rng.random_range(0.0..0.3) };
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(4..12) {
        faults.extend(fleet.inject_fault(&mut rng));
        let calls = (rate * rng.random_range(0.2..6.0)).max(5.0);
        let fixed_router = rng.random_range(0..routers);
        let frozen = fleet.frozen_routers.clone();
        send_calls(&mut fleet, calls, (1, 1), rng.random_range(1..4), |rng, now| {
            let router =
                if fixed_router % 2 == 0 { fixed_router } else { rng.random_range(0..routers) };
            unfrozen_router(&frozen, router, routers, now)
        });
    }
    let worst = worst_window(&fleet.records, WINDOW);
    if worst <= allowed(rate) {
        return Ok(());
    }
    Err(format!(
        "seed {seed}: {worst} of {:.1}, rate {rate:.2}, {routers} routers, {meters} meters: {faults:?}",
        allowed(rate)
    ))
}

/// Guards against a target that gets more than its limit while routers and meters restart, freeze, are partitioned
/// and lose messages. `LIMIT_PLAYS=5000` runs 5,000 random seeds instead of the fixed ones.
#[test]
fn no_window_ever_holds_more_than_a_target_takes() {
    fn property(seed: u64) -> bool {
        simulate(seed).map_err(|fault| eprintln!("{fault}")).is_ok()
    }
    check_seeds(property);
}

fn update(rate: Option<f64>, age_ms: u32) -> LimitUpdate {
    LimitUpdate { tag: 7, rate, age_ms }
}

/// Guards against limits that reappear or end because updates were lost, duplicated, late or echoed.
#[test]
fn the_newest_update_of_a_limit_wins_wherever_it_comes_from() {
    let mut table = LimitTable::default();
    table.take(&[update(Some(3.9), 100)], ms(10_000));
    assert_eq!(table.answer(&[], ms(10_500)), [update(Some(3.9), 600)]);
    assert_eq!(table.answer(&[update(Some(3.9), 900)], ms(10_500)), [], "it is known there");
    table.take(&[update(None, 500)], ms(12_000));
    table.take(&[update(Some(3.9), 2_100)], ms(12_001));
    assert_eq!(table.answer(&[update(Some(3.9), 2_200)], ms(12_100)), [update(None, 600)]);
    table.take(&[update(Some(0.2), 0)], ms(13_000));
    table.take(&[update(None, 1_500)], ms(13_001));
    assert_eq!(table.answer(&[], ms(13_000)), [update(Some(0.2), 0)]);
    assert_eq!(table.is_newest(7, 0.2), Some(true));
    assert_eq!(table.is_newest(7, 3.9), Some(false));
    assert_eq!(table.is_newest(8, 3.9), None);
    // An echoed update does not refresh the known limit.
    let mut known = KnownLimit::default();
    assert!(known.apply_update(&update(Some(0.2), 1_000), ms(14_000)));
    for step in 1..100 {
        assert!(!known.apply_update(&update(Some(0.2), 0), ms(14_000 + 100 * step)));
    }
    assert!(known.record(AdvertisedLimit::Unlimited, ms(13_500), ms(24_000)));
    assert!(known.is_reported(ms(24_000)), "the end is sent to others");
    assert!(!known.is_reported(ms(90_000)));
}

/// Guards against a meter whose lowered rate is raised again by routers that still have the older, higher one.
#[test]
fn a_meter_applies_the_newest_rate() {
    let (mut meter, mut table) = (UsageMeter::new(1), LimitTable::default());
    let mut report = usage_report();
    let enrolment = meter.take(&report, &table, ms(1_000)).expect("an answer").enrolment;
    report.enrolment = enrolment;
    let mut granted = |rate: f64, wanted, at| {
        report.sequence += 1;
        let shares = LimitShares::new(&target_rule(rate), FleetSize::new(1, 1));
        report.requests = vec![UsageRequest {
            tag: 7,
            rate: shares.rate as f32,
            capacity: shares.capacity as f32,
            overdraft: 0.0,
            is_quiet: false,
            wanted,
            needed: wanted as u32,
            first: 1,
        }];
        report.limit_updates = vec![LimitUpdate {
            tag: 7,
            rate: Some(rate),
            age_ms: if rate < 1.0 { 0 } else { 9_000 },
        }];
        table.take(&report.limit_updates, at);
        let grant = meter.take(&report, &table, at).expect("an answer");
        grant.grants[0].granted
    };
    assert_eq!(granted(40.0, 100, ms(1_100)), 0, "the bucket is new");
    assert_eq!(granted(0.5, 100, ms(1_200)), 1, "refilled under the old rate");
    for at in 13..53 {
        let total = granted(40.0, 100, ms(at * 100));
        assert!(total <= 5, "an older update raised the rate: {total}");
    }
}
