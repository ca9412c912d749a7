//! The fleet's retry budget.

use super::support::ms;
use plantain_core::direct::budget::{FleetRetryBudget, RetryAllowance};
use quickcheck::QuickCheck;
use std::time::Duration;

const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, slack: 12.0, window: Duration::from_secs(10) };

/// Whether the retries in the window that ends at `now` are within the allowance.
fn is_within(calls: &[Duration], retries: &[Duration], now: Duration) -> bool {
    let in_window = |times: &[Duration]| {
        times.iter().filter(|time| now.saturating_sub(**time) < ALLOWANCE.window).count()
    };
    in_window(retries) as f64 <= ALLOWANCE.ratio * in_window(calls) as f64 + ALLOWANCE.slack
}

/// Guards against retry storms: targets refuse everything for a while, and if each router retried each call, the
/// retries would keep the targets overloaded. The sum over all routers in any window must stay within the allowance,
/// for any order of calls and retries.
#[test]
fn routers_together_stay_within_the_allowance() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        const ROUTERS: usize = 3;
        let mut budgets = vec![FleetRetryBudget::new(ALLOWANCE, Duration::ZERO); ROUTERS];
        let (mut now, mut calls, mut retries) = (ALLOWANCE.window, Vec::new(), Vec::new());
        for (choice, pause) in steps {
            now += ms(u64::from(pause % 200));
            let budget = &mut budgets[usize::from(choice) % ROUTERS];
            if choice % 4 == 0 {
                budget.record_call(now);
                calls.push(now);
            } else if budget.try_retry(now, ROUTERS) {
                retries.push(now);
            }
            if !is_within(&calls, &retries, now) {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

/// All routers are killed at once while targets refuse everything, and restart without knowing the others or their
/// own earlier retries. If each used the full slack again, the fleet would exceed its allowance several times over,
/// while everything is cold.
#[test]
fn restarted_routers_get_no_additional_slack() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        const ROUTERS: usize = 3;
        const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
        let mut now = ALLOWANCE.window;
        let mut routers =
            vec![(FleetRetryBudget::new(ALLOWANCE, Duration::ZERO), Duration::ZERO); ROUTERS];
        let (mut calls, mut retries, mut last_kill) = (Vec::new(), Vec::new(), Duration::ZERO);
        for (choice, pause) in steps {
            now += ms(u64::from(pause % 200));
            let (budget, started) = &mut routers[usize::from(choice) % ROUTERS];
            let is_alone = now.saturating_sub(*started) < DISCOVERY_TIME;
            let known = if is_alone { 1 } else { ROUTERS };
            match choice % 16 {
                0..=3 => {
                    budget.record_call(now);
                    calls.push(now);
                }
                4 if now.saturating_sub(last_kill) >= ALLOWANCE.window => {
                    routers.fill((FleetRetryBudget::new(ALLOWANCE, now), now));
                    last_kill = now;
                }
                _ if budget.try_retry(now, known) => retries.push(now),
                _ => {}
            }
            if !is_within(&calls, &retries, now) {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(1_000).quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn an_idle_router_has_its_share_of_the_slack_and_gets_it_back() {
    let mut budget = FleetRetryBudget::new(ALLOWANCE, ms(0));
    assert!(budget.try_retry(ms(9_800), 2), "one retry within a window of the start");
    assert!(!budget.try_retry(ms(9_900), 2), "the start was less than a window ago");
    let taken = (0..100).filter(|_| budget.try_retry(ms(20_500), 2)).count();
    assert_eq!(taken, 4, "0.7 of 12, shared by two");
    assert!(!budget.try_retry(ms(25_000), 2));
    assert!(budget.try_retry(ms(31_000), 2), "the window has passed");
}
