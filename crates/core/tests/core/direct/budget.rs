//! The fleet's budget of repeats.

use super::support::ms;
use plantain_core::direct::budget::{RepeatAllowance, RepeatBudget};
use quickcheck::QuickCheck;
use std::time::Duration;

const ALLOWANCE: RepeatAllowance =
    RepeatAllowance { ratio: 0.2, slack: 12.0, window: Duration::from_secs(10) };

/// Targets refuse everything for a while: each router would repeat each call, and the repeats of all
/// routers together would be the load that keeps the targets down. Whatever comes in whatever order,
/// the sum over all routers in any window stays within the allowance.
#[test]
fn routers_together_never_pass_the_allowance() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        const ROUTERS: usize = 3;
        let mut budgets = vec![RepeatBudget::new(ALLOWANCE); ROUTERS];
        let (mut now, mut calls, mut repeats) = (Duration::ZERO, Vec::new(), Vec::new());
        for (choice, pause) in steps {
            now += ms(u64::from(pause % 200));
            let budget = &mut budgets[usize::from(choice) % ROUTERS];
            if choice % 4 == 0 {
                budget.record_call(now);
                calls.push(now);
            } else if budget.try_repeat(now, ROUTERS) {
                repeats.push(now);
            }
            let inside = |times: &[Duration]| {
                times.iter().filter(|time| now.saturating_sub(**time) < ALLOWANCE.window).count()
            };
            let allowed = ALLOWANCE.ratio * inside(&calls) as f64 + ALLOWANCE.slack;
            if inside(&repeats) as f64 > allowed {
                return false;
            }
        }
        true
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn an_idle_router_has_its_share_of_the_slack_and_gets_it_back() {
    let mut budget = RepeatBudget::new(ALLOWANCE);
    let taken = (0..100).filter(|_| budget.try_repeat(ms(0), 2)).count();
    assert_eq!(taken, 4, "0.8 of 12, shared by two");
    assert!(!budget.try_repeat(ms(5_000), 2));
    assert!(budget.try_repeat(ms(10_500), 2), "the window has passed");
}
