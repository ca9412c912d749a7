//! The fleet's budget of repeats.

use super::support::ms;
use plantain_core::direct::budget::{FleetRetryBudget, RetryAllowance};
use quickcheck::QuickCheck;
use std::time::Duration;

const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, slack: 12.0, window: Duration::from_secs(10) };

/// Whether the repeats in the window that ends at `now` are within the allowance.
fn is_within(calls: &[Duration], retries: &[Duration], now: Duration) -> bool {
    let inside = |times: &[Duration]| {
        times.iter().filter(|time| now.saturating_sub(**time) < ALLOWANCE.window).count()
    };
    inside(retries) as f64 <= ALLOWANCE.ratio * inside(calls) as f64 + ALLOWANCE.slack
}

/// Targets refuse everything for a while: each router would repeat each call, and the repeats of all
/// routers together would be the load that keeps the targets down. Whatever comes in whatever order,
/// the sum over all routers in any window stays within the allowance.
#[test]
fn routers_together_never_pass_the_allowance() {
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

/// All routers are killed at once while targets refuse everything, and each starts again knowing neither
/// the others nor its own earlier repeats. If each took the slack anew, and the whole of it, the fleet
/// would repeat several times what it may, just as everything starts cold.
#[test]
fn routers_that_restart_get_no_slack_anew() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        const ROUTERS: usize = 3;
        const LONELY: Duration = Duration::from_millis(1_500);
        let mut now = ALLOWANCE.window;
        let mut incarnations =
            vec![(FleetRetryBudget::new(ALLOWANCE, Duration::ZERO), Duration::ZERO); ROUTERS];
        let (mut calls, mut retries, mut killed) = (Vec::new(), Vec::new(), Duration::ZERO);
        for (choice, pause) in steps {
            now += ms(u64::from(pause % 200));
            let (budget, started) = &mut incarnations[usize::from(choice) % ROUTERS];
            let is_lonely = now.saturating_sub(*started) < LONELY;
            let known = if is_lonely { 1 } else { ROUTERS };
            match choice % 16 {
                0..=3 => {
                    budget.record_call(now);
                    calls.push(now);
                }
                4 if now.saturating_sub(killed) >= ALLOWANCE.window => {
                    incarnations.fill((FleetRetryBudget::new(ALLOWANCE, now), now));
                    killed = now;
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
    assert!(budget.try_retry(ms(9_800), 2), "one while it is fresh");
    assert!(!budget.try_retry(ms(9_900), 2), "it has not lived for a window");
    let taken = (0..100).filter(|_| budget.try_retry(ms(20_500), 2)).count();
    assert_eq!(taken, 4, "0.7 of 12, shared by two");
    assert!(!budget.try_retry(ms(25_000), 2));
    assert!(budget.try_retry(ms(31_000), 2), "the window has passed");
}
