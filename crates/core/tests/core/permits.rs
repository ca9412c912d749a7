//! Tests of load permits.

use plantain_core::{
    ids::AdapterKey,
    permits::{PermitLimits, PermitOrder, PermitPool},
    priority::LoadUrgency,
    protocol::PermitRequest,
};
use quickcheck::QuickCheck;
use std::time::Duration;

const LIMITS: PermitLimits = PermitLimits { rate: 4.0, active: 3, order: PermitOrder::Urgency };

fn request(index: u64) -> PermitRequest {
    PermitRequest { target: "scribe-0".into(), key: AdapterKey::new(format!("house-{index}"), 1) }
}

fn urgency(importance: u8, waiters: u32) -> LoadUrgency {
    LoadUrgency { importance, waiters, waited: Duration::ZERO }
}

/// For any sequence of permit requests and ended loads: at most three loads are under way, and on average at
/// most four loads begin per second, in addition to the one token of a new pool. Within any one second, at most
/// eight loads begin.
#[test]
fn limits_are_never_exceeded() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        let mut pool = PermitPool::new(LIMITS, Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut granted: Vec<Duration> = Vec::new();
        let mut active = Vec::new();
        for (index, (kind, millis)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(u64::from(millis % 400));
            match kind % 3 {
                0 | 1 => pool.enqueue(request(index as u64), urgency(kind % 2, 1), now),
                _ => {
                    if let Some(ended) = active.pop() {
                        pool.end(&ended);
                    }
                }
            }
            let new = pool.grant(now);
            granted.extend(new.iter().map(|_| now));
            active.extend(new);
            let second = granted
                .iter()
                .filter(|at| now.saturating_sub(**at) < Duration::from_secs(1))
                .count();
            if pool.active() > LIMITS.active || second > 8 {
                return false;
            }
        }
        let allowed = 1.0 + now.as_secs_f64() * LIMITS.rate;
        granted.len() as f64 <= allowed + 1e-9
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn most_urgent_request_goes_first() {
    let mut pool = PermitPool::new(LIMITS, Duration::ZERO);
    pool.enqueue(request(1), urgency(0, 9), Duration::ZERO);
    pool.enqueue(request(2), urgency(2, 1), Duration::ZERO);
    pool.enqueue(request(3), urgency(2, 5), Duration::ZERO);
    assert_eq!(pool.grant(Duration::ZERO), [request(3)]);
    assert_eq!(pool.next_grant(Duration::ZERO), Some(Duration::from_millis(250)));
    assert_eq!(pool.grant(Duration::from_millis(250)), [request(2)]);
    assert_eq!(pool.grant(Duration::from_millis(500)), [request(1)]);
}
