//! Urgency of calls: their priority, and their customer's use beside its fair share.

use super::support::{DESK, ENGINES, ms};
use plantain_core::direct::{
    customers::CustomerRule,
    limits::terms::{UsageLimit, UsageUnit},
    urgency::{CustomerUseTable, LOWEST_URGENCY, UseShare, call_urgency},
};

/// Tokens of one call in these tests.
const CALL_TOKENS: u32 = 700;

fn customer(index: usize, unit: UsageUnit, rate: Option<f64>) -> CustomerRule {
    let limit = rate.map(|rate| UsageLimit { unit, rate, burst: rate });
    CustomerRule { name: format!("c{index}").into(), keys: Vec::new(), priority: None, limit }
}

const TOKENS: UsageUnit = UsageUnit::Tokens { plain: 100 };

fn customers(count: usize, rate: Option<f64>) -> Vec<CustomerRule> {
    (0..count).map(|index| customer(index, TOKENS, rate)).collect()
}

/// Steps of each customer after two seconds in which it sent this many calls, evenly spread.
fn steps(customers: &[CustomerRule], calls: &[u32]) -> Vec<u8> {
    let mut table = CustomerUseTable::default();
    let service = ENGINES.into();
    for at in 0..1_900 {
        for (customer, calls) in customers.iter().zip(calls) {
            if at * calls / 1_900 != (at + 1) * calls / 1_900 {
                table.record(&service, customer, CALL_TOKENS, ms(10_000 + u64::from(at)));
            }
        }
    }
    let shares = customers.iter().map(|customer| table.share(&service, customer, ms(11_900)));
    shares.map(|share| share.as_ref().map_or(0, UseShare::steps)).collect()
}

/// Load pattern: one of sixteen customers sends five times its usual load, which its limit admits. Its calls fill the
/// queues of the engines, and without steps all customers wait the same time behind them.
#[test]
fn a_flood_of_one_customer_does_not_change_the_urgency_of_the_others() {
    for rate in [Some(50_000.0), None] {
        let all = customers(16, rate);
        let usual = steps(&all, &[4; 16]);
        assert_eq!(usual, [0; 16], "usual load, limits {rate:?}");
        let mut calls = [4; 16];
        calls[5] *= 5;
        let flooded = steps(&all, &calls);
        for (index, (before, after)) in usual.iter().zip(&flooded).enumerate() {
            let urgencies = |steps| call_urgency(1, Some(steps));
            if index == 5 {
                assert!(urgencies(*after) > urgencies(0), "the flood goes after the others");
            } else {
                assert_eq!(urgencies(*before), urgencies(*after), "customer {index}");
            }
        }
    }
}

struct ShareCase {
    name: &'static str,
    customers: Vec<CustomerRule>,
    calls: &'static [u32],
    steps: &'static [u8],
}

/// Load pattern: customers of different sizes share engines. If a large customer's usual load counted as too much, or a
/// small customer's flood as little, steps would protect the wrong one.
#[test]
fn use_is_compared_with_the_fair_share() {
    let calls = |index, rate| customer(index, UsageUnit::Calls, Some(rate));
    let tokens = |index, rate| customer(index, TOKENS, Some(rate));
    let cases = [
        ShareCase {
            name: "the larger limit, used in proportion",
            customers: vec![tokens(0, 9_000.0), tokens(1, 1_000.0)],
            calls: &[90, 10],
            steps: &[0, 0],
        },
        ShareCase {
            name: "the smaller limit, used as much as the larger",
            customers: vec![tokens(0, 9_000.0), tokens(1, 1_000.0)],
            calls: &[50, 50],
            steps: &[0, 2],
        },
        ShareCase {
            name: "just within 1.5 times",
            customers: customers(4, None),
            calls: &[30, 18, 16, 16],
            steps: &[0, 0, 0, 0],
        },
        ShareCase {
            name: "above 1.5 times",
            customers: customers(4, None),
            calls: &[40, 20, 20, 20],
            steps: &[1, 0, 0, 0],
        },
        ShareCase {
            name: "above three times",
            customers: customers(4, None),
            calls: &[80, 5, 5, 5],
            steps: &[2, 0, 0, 0],
        },
        ShareCase {
            name: "customers without calls have no share",
            customers: customers(16, Some(1_000.0)),
            calls: &[50, 50],
            steps: &[0, 0],
        },
        ShareCase {
            name: "one of two customers without a limit: equal shares",
            customers: vec![tokens(0, 9_000.0), customer(1, TOKENS, None)],
            calls: &[80, 20],
            steps: &[1, 0],
        },
        ShareCase {
            name: "limits in different units: equal shares",
            customers: vec![calls(0, 9_000.0), tokens(1, 1_000.0)],
            calls: &[80, 20],
            steps: &[1, 0],
        },
        ShareCase {
            name: "limits of rate 0: equal shares",
            customers: customers(2, Some(0.0)),
            calls: &[80, 20],
            steps: &[1, 0],
        },
        ShareCase {
            name: "alone",
            customers: customers(1, Some(1_000.0)),
            calls: &[100],
            steps: &[0],
        },
    ];
    for case in cases {
        let steps = steps(&case.customers, case.calls);
        assert_eq!(&steps[..case.steps.len()], case.steps, "{}", case.name);
    }
}

/// Load pattern: a burst of one customer that ends. Its calls must not stay behind the others' for longer than the 2 s
/// for which use counts, also when nobody called meanwhile.
#[test]
fn use_counts_for_two_seconds() {
    let all = customers(4, None);
    let mut table = CustomerUseTable::default();
    let service = ENGINES.into();
    for customer in &all {
        table.record(&service, customer, CALL_TOKENS, ms(1_000));
    }
    table.record(&service, &all[0], 20 * CALL_TOKENS, ms(1_000));
    let steps_at = |table: &CustomerUseTable, at| {
        table.share(&service, &all[0], ms(at)).as_ref().map(UseShare::steps)
    };
    assert_eq!(steps_at(&table, 2_900), Some(2));
    assert_eq!(steps_at(&table, 3_000), None, "nobody has calls");
    for customer in &all {
        table.record(&service, customer, CALL_TOKENS, ms(60_000));
    }
    assert_eq!(steps_at(&table, 60_000), Some(0), "the old buckets are cleared");
    let share = table.share(&service, &all[0], ms(60_000)).expect("four customers");
    assert_eq!((share.used, share.total), (u64::from(CALL_TOKENS), 4 * u64::from(CALL_TOKENS)));
    assert_eq!(table.share(&DESK.into(), &all[0], ms(60_000)), None, "of another service");
}

/// Load pattern: calls of several priorities at the same engines. A step of a flooding customer must not move its
/// urgent calls behind less urgent ones, and without customers nothing may change.
#[test]
fn a_lower_priority_never_goes_before_a_higher_one() {
    for priority in 0..2 {
        for (low, high) in [(0, 0), (0, 2), (2, 2), (2, 0)] {
            let (higher, lower) =
                (call_urgency(priority, Some(high)), call_urgency(priority + 1, Some(low)));
            assert!(higher < lower, "priority {priority}: {higher} before {lower}");
        }
    }
    assert!((0..=u8::MAX).all(|priority| call_urgency(priority, Some(2)) <= LOWEST_URGENCY));
    for priority in 0..=u8::MAX {
        assert_eq!(call_urgency(priority, None), priority.min(9), "as without customers");
    }
}

/// Load pattern: calls with the keys of very many customers. The table must not grow without bound, and those that are
/// counted already must stay so.
#[test]
fn the_number_of_customers_is_bounded() {
    let all = customers(1_100, None);
    let mut table = CustomerUseTable::default();
    let service = ENGINES.into();
    for customer in &all {
        table.record(&service, customer, CALL_TOKENS, ms(1_000));
    }
    let counted = |table: &CustomerUseTable, at| {
        all.iter().filter(|customer| table.share(&service, customer, ms(at)).is_some()).count()
    };
    assert_eq!(counted(&table, 1_000), 1_024);
    table.record(&service, &all[1_098], CALL_TOKENS, ms(9_000));
    table.record(&service, &all[1_099], CALL_TOKENS, ms(9_000));
    assert_eq!(counted(&table, 9_000), 2, "expired ones make room");
}
