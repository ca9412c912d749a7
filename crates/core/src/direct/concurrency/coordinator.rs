//! Coordinator of the slots of services: divides the slots of their targets among the routers, by max-min fairness.
//!
//! It persists nothing. Reports carry absolute counts, so that a new coordinator knows all use within one report of
//! each router. A slot counts as used while its router may still start a call there: until a report shows that the
//! router has applied the grant that took the slot back.

use super::{
    ServiceTag, SlotTag, in_flight_limit,
    messages::{AllowedSlots, SlotGrant, SlotReport},
};
use crate::ids::{BootId, Timestamp};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// Maximum of services that a coordinator tracks.
const MAX_SERVICES: usize = 64;
/// Maximum of routers of one service that a coordinator tracks.
const MAX_ROUTERS: usize = 2_048;
/// Maximum of targets in one report that a coordinator reads. A grant of 256 targets takes 3 kB.
const MAX_TARGETS: usize = 256;
/// Time after its last report at which a router's slots return: four report intervals.
const ROUTER_TTL: Duration = Duration::from_secs(1);
/// Weight of a new sample of a target's run time; run times vary by half.
const RUN_WEIGHT: f64 = 0.2;
/// Weight of a sample of a slow target's run time, which comes once per [`PROBE_PAUSE`]: one short run alone does not
/// make it fast, but a run as short as the other targets' does.
const PROBE_WEIGHT: f64 = 0.4;
/// A target is slow if its run time is above this multiple of the fastest target's. A plain service's objective is
/// five run times, and a call waits for up to two and a half of them before it starts.
const SLOW_FACTOR: f64 = 2.5;
/// Time without an ended call after which a slow target gets one call, to see whether it is still slow.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct HeldSlots {
    tag: SlotTag,
    in_use: u16,
    allowed: u16,
    /// Largest `allowed` that the router may still apply.
    bound: u16,
}

impl HeldSlots {
    /// Calls that the router has or may start here.
    fn committed(&self) -> u16 {
        self.in_use.max(self.bound).max(self.allowed)
    }

    /// Calls that it has or will have here, by the last grant.
    fn held(&self) -> u16 {
        self.in_use.max(self.allowed)
    }
}

#[derive(Debug)]
struct RouterSlots {
    address: SocketAddr,
    sequence: u32,
    seen: Timestamp,
    number: u32,
    waiting: u16,
    /// When it began to wait for its next slot.
    waits_since: Timestamp,
    /// When it was last given a slot.
    given: Timestamp,
    is_changed: bool,
    targets: Vec<HeldSlots>,
}

impl RouterSlots {
    fn in_use(&self) -> u32 {
        self.targets.iter().map(|target| u32::from(target.in_use)).sum()
    }

    fn allowed(&self) -> u32 {
        self.targets.iter().map(|target| u32::from(target.allowed)).sum()
    }

    fn held(&self) -> u32 {
        self.targets.iter().map(|target| u32::from(target.held())).sum()
    }

    /// Slots that its waiting calls still need.
    fn missing(&self) -> u32 {
        (self.in_use() + u32::from(self.waiting)).saturating_sub(self.held())
    }

    /// Takes back one slot: one without a call if there is any, at the target that it prefers least. Returns whether
    /// it had one.
    fn take_back(&mut self) -> bool {
        let is_unused = |target: &HeldSlots| target.allowed > target.in_use;
        let unused = self.targets.iter().rposition(is_unused);
        let found = unused.or_else(|| self.targets.iter().rposition(|target| target.allowed > 0));
        let Some(index) = found else { return false };
        self.targets[index].allowed -= 1;
        self.is_changed = true;
        true
    }
}

#[derive(Debug)]
struct SharedTarget {
    slots: u16,
    reported: Timestamp,
    run_ms: f64,
    sampled: Timestamp,
    /// Calls that may be in flight there.
    limit: u32,
    /// Calls that routers have or may start there.
    committed: u32,
    free: i64,
}

#[derive(Debug, Default)]
struct ServiceSlots {
    routers: BTreeMap<BootId, RouterSlots>,
    targets: BTreeMap<SlotTag, SharedTarget>,
}

/// The coordinator that a loader runs.
#[derive(Debug, Default)]
pub struct SlotCoordinator {
    services: HashMap<ServiceTag, ServiceSlots>,
}

impl SlotCoordinator {
    /// Applies a report from the router at `address`. Returns its answer, and grants for the other routers whose slots
    /// have changed; nothing for an outdated report.
    pub fn take(
        &mut self,
        address: SocketAddr,
        report: &SlotReport,
        now: Timestamp,
    ) -> Vec<(SocketAddr, SlotGrant)> {
        if !self.services.contains_key(&report.service) && self.services.len() >= MAX_SERVICES {
            self.services.retain(|_, service| service.is_alive(now));
            if self.services.len() >= MAX_SERVICES {
                return Vec::new();
            }
        }
        let service = self.services.entry(report.service).or_default();
        service.expire(now);
        if !service.note(address, report, now) {
            return Vec::new();
        }
        service.divide(now);
        service.take_grants(report.service, report.boot)
    }

    /// Slots in use and slots granted of a service, over all routers.
    pub fn view(&self, service: ServiceTag) -> (u32, u32) {
        let Some(service) = self.services.get(&service) else { return (0, 0) };
        let routers = || service.routers.values();
        (routers().map(RouterSlots::in_use).sum(), routers().map(RouterSlots::allowed).sum())
    }
}

impl ServiceSlots {
    fn is_alive(&self, now: Timestamp) -> bool {
        self.routers.values().any(|router| now.saturating_sub(router.seen) < ROUTER_TTL)
    }

    fn expire(&mut self, now: Timestamp) {
        self.routers.retain(|_, router| now.saturating_sub(router.seen) < ROUTER_TTL);
        self.targets.retain(|_, target| now.saturating_sub(target.reported) < ROUTER_TTL);
    }

    fn note(&mut self, address: SocketAddr, report: &SlotReport, now: Timestamp) -> bool {
        let is_new = !self.routers.contains_key(&report.boot);
        if is_new && self.routers.len() >= MAX_ROUTERS {
            return false;
        }
        let router = self.routers.entry(report.boot).or_insert_with(|| RouterSlots {
            address,
            sequence: 0,
            seen: now,
            number: report.applied,
            waiting: 0,
            waits_since: now,
            given: now,
            is_changed: false,
            targets: Vec::new(),
        });
        if !is_new && report.sequence <= router.sequence {
            return false;
        }
        if router.waiting == 0 {
            router.waits_since = now;
        }
        let is_current = report.applied == router.number;
        (router.address, router.sequence, router.seen) = (address, report.sequence, now);
        router.waiting = report.waiting;
        let mut known = std::mem::take(&mut router.targets);
        for used in report.targets.iter().take(MAX_TARGETS) {
            let found = known.iter().position(|held| held.tag == used.tag);
            let held = match found.map(|index| known.swap_remove(index)) {
                Some(held) => HeldSlots {
                    in_use: used.in_use,
                    bound: if is_current { held.allowed } else { held.bound },
                    ..held
                },
                // A coordinator that is new to the router lets it keep what it uses.
                None if is_new => HeldSlots {
                    tag: used.tag,
                    in_use: used.in_use,
                    allowed: used.in_use,
                    bound: used.in_use,
                },
                None => HeldSlots { tag: used.tag, in_use: used.in_use, allowed: 0, bound: 0 },
            };
            router.targets.push(held);
            let target = self.targets.entry(used.tag).or_insert(SharedTarget {
                slots: used.slots,
                reported: now,
                run_ms: 0.0,
                sampled: now,
                limit: 0,
                committed: 0,
                free: 0,
            });
            (target.slots, target.reported) = (used.slots, now);
            if used.run_ms > 0 {
                target.note_run(f64::from(used.run_ms), now);
            }
        }
        true
    }

    /// Divides the slots anew, from the state of all routers.
    fn divide(&mut self, now: Timestamp) {
        self.count_free(now);
        self.take_excess();
        self.give_free(now);
        self.rebalance(now);
    }

    fn count_free(&mut self, now: Timestamp) {
        let known = self.targets.values().map(|target| target.run_ms).filter(|run| *run > 0.0);
        let fastest = known.min_by(f64::total_cmp).unwrap_or_default();
        for target in self.targets.values_mut() {
            target.committed = 0;
        }
        for held in self.routers.values().flat_map(|router| &router.targets) {
            if let Some(target) = self.targets.get_mut(&held.tag) {
                target.committed += u32::from(held.committed());
            }
        }
        for target in self.targets.values_mut() {
            let is_due = now.saturating_sub(target.sampled) >= PROBE_PAUSE;
            target.limit = match in_flight_limit(target.slots) {
                limit if target.run_ms <= fastest * SLOW_FACTOR => limit,
                // The slot of a probe is taken back at once, so that its router uses it for one call only.
                _ => u32::from(is_due && target.committed == 0),
            };
            target.free = i64::from(target.limit) - i64::from(target.committed);
        }
    }

    /// Takes back what exceeds a target's limit, and what routers neither use nor need. While no call waits, a router
    /// keeps one spare slot, so that its next call waits for no round trip.
    fn take_excess(&mut self) {
        let mut allowed: HashMap<SlotTag, u32> = HashMap::new();
        for held in self.routers.values().flat_map(|router| &router.targets) {
            *allowed.entry(held.tag).or_default() += u32::from(held.allowed);
        }
        for (tag, target) in &self.targets {
            for _ in target.limit..allowed.get(tag).copied().unwrap_or_default() {
                let held = self.routers.values_mut().filter_map(|router| {
                    let index = router.targets.iter().position(|held| held.tag == *tag)?;
                    Some((router.targets[index].allowed, index, router))
                });
                let Some((_, index, router)) = held.max_by_key(|(allowed, ..)| *allowed) else {
                    break;
                };
                router.targets[index].allowed = router.targets[index].allowed.saturating_sub(1);
                router.is_changed = true;
            }
        }
        let spare = u32::from(self.routers.values().all(|router| router.missing() == 0));
        for router in self.routers.values_mut() {
            let needed = router.in_use() + u32::from(router.waiting) + spare;
            while router.allowed() > needed {
                if !router.take_back() {
                    break;
                }
            }
        }
    }

    /// Gives free slots: to the waiting router with the fewest first, then one spare slot to each router without one.
    fn give_free(&mut self, now: Timestamp) {
        while self.targets.values().any(|target| target.free > 0) {
            let waiting = self.routers.iter().filter(|(_, router)| router.missing() > 0);
            let order = |router: &RouterSlots| (router.held(), router.waits_since);
            let mut waiting: Vec<_> =
                waiting.map(|(boot, router)| (order(router), *boot)).collect();
            waiting.sort_unstable();
            let given = waiting.iter().any(|(_, boot)| self.give(*boot, now));
            if !given {
                if waiting.is_empty() {
                    self.give_spares(now);
                }
                return;
            }
        }
    }

    fn give_spares(&mut self, now: Timestamp) {
        let mut lacking: Vec<_> = self
            .routers
            .iter()
            .filter(|(_, router)| router.held() <= router.in_use())
            .map(|(boot, router)| (router.held(), *boot))
            .collect();
        lacking.sort_unstable();
        for (_, boot) in lacking {
            self.give(boot, now);
        }
    }

    /// Gives a router one slot at the first target in its order that has a free one; returns whether there was any.
    fn give(&mut self, boot: BootId, now: Timestamp) -> bool {
        let Some(router) = self.routers.get_mut(&boot) else { return false };
        for held in &mut router.targets {
            let Some(target) = self.targets.get_mut(&held.tag).filter(|target| target.free > 0)
            else {
                continue;
            };
            let before = held.committed();
            held.allowed = held.held() + 1;
            held.bound = held.bound.max(held.allowed);
            target.free -= i64::from(held.committed() - before);
            (router.waits_since, router.given, router.is_changed) = (now, now, true);
            return true;
        }
        false
    }

    /// Takes slots back for waiting routers that have none, or at least two fewer than another router. A slot that has
    /// a call returns when the call ends; as many are taken back as such routers wait.
    fn rebalance(&mut self, now: Timestamp) {
        let returning = |router: &RouterSlots| {
            let held = router.targets.iter();
            held.map(|held| u32::from(held.committed() - held.allowed)).sum::<u32>()
        };
        let returning: u32 = self.routers.values().map(returning).sum();
        let mut lacking: Vec<u32> = self
            .routers
            .values()
            .filter(|router| router.missing() > 0)
            .map(RouterSlots::held)
            .collect();
        lacking.sort_unstable();
        for held in lacking.into_iter().skip(returning as usize) {
            // A slot that was given just now is used for at least one call.
            let holders = self.routers.values_mut().filter(|router| router.given < now);
            let holders = holders.map(|router| (router.allowed(), router));
            let holders = holders.max_by_key(|(allowed, router)| {
                (*allowed, std::cmp::Reverse(router.given), router.number)
            });
            let Some((allowed, router)) = holders else { return };
            let has_more = allowed >= held + 2 || (held == 0 && allowed > 0);
            if !has_more || !router.take_back() {
                return;
            }
        }
    }

    fn take_grants(&mut self, tag: ServiceTag, sender: BootId) -> Vec<(SocketAddr, SlotGrant)> {
        let waiting = self.routers.values().map(|router| u32::from(router.waiting)).sum();
        let changed = self.routers.iter_mut().filter_map(|(boot, router)| {
            let is_changed = std::mem::take(&mut router.is_changed);
            (is_changed || *boot == sender).then_some((router, is_changed))
        });
        let grants = changed.map(|(router, is_changed)| {
            router.number = router.number.wrapping_add(u32::from(is_changed));
            let allowed = router.targets.iter().filter(|held| held.allowed > 0);
            let grant = SlotGrant {
                service: tag,
                sequence: router.sequence,
                targets: allowed
                    .map(|held| AllowedSlots { tag: held.tag, allowed: held.allowed })
                    .collect(),
                waiting,
                number: router.number,
            };
            (router.address, grant)
        });
        grants.collect()
    }
}

impl SharedTarget {
    fn note_run(&mut self, run_ms: f64, now: Timestamp) {
        let weight = match now.saturating_sub(self.sampled) {
            _ if self.run_ms <= 0.0 => 1.0,
            pause if pause >= PROBE_PAUSE => PROBE_WEIGHT,
            _ => RUN_WEIGHT,
        };
        self.run_ms += (run_ms - self.run_ms) * weight;
        self.sampled = now;
    }
}
