//! One router's account of the slots of one plain service: what it may use, what it uses, and the calls that wait.
//!
//! A call starts at once at a target where the router has a free slot, without a round trip. Otherwise it waits, or is
//! refused if it could not be served in time. While no coordinator answers, calls are not managed here.

use super::{
    ServiceTag, SlotTag, in_flight_limit,
    links::CoordinatorLinks,
    messages::{SlotGrant, SlotReport, SlotUse},
};
use crate::{
    direct::membership::InstanceId,
    ids::{BootId, Timestamp},
};
use std::{collections::HashMap, time::Duration};

/// Shortest pause between two reports.
const MIN_REPORT_PAUSE: Duration = Duration::from_millis(2);
/// Pause between reports while the router uses slots or has calls that wait.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Pause before an unanswered report is sent again, as datagrams may be lost; an answer takes a few ms.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Pause between reports while calls wait and the router has no slot: the grant may be lost. Calls wait for 100 ms.
const WAIT_REPORT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which calls wait for the first answer of a coordinator that takes over: a few round trips.
const TAKEOVER_WAIT: Duration = Duration::from_millis(20);
/// Weight of a new sample of the run time; run times vary by half.
const RUN_WEIGHT: f64 = 0.1;
/// Run time that a call must have left to start, as a multiple of the mean: run times vary by half, and so do the
/// waits at the target.
const RUN_MARGIN: f64 = 1.5;
/// Objective below which no call is refused by its run time, as a multiple of that time: a service whose runs take
/// about as long as its objective would refuse all calls.
const MIN_OBJECTIVE_RUNS: f64 = 2.0;
/// Age up to which the number of calls that wait at all routers is used to refuse calls: they wait for about 100 ms.
/// A router without calls hears no newer number.
const WAITING_TTL: Duration = Duration::from_millis(50);
/// Most calls that wait at one router; more are refused at once. A call that has so many before it is late.
const MAX_WAITING: usize = 1_024;

/// Identifies a call that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SlotTicket(u64);

/// A call that needs a slot.
#[derive(Clone, Debug)]
pub struct SlotCall {
    /// Targets that can take it, the best first.
    pub targets: Vec<SlotTag>,
    /// Priority; 0 is first.
    pub priority: u8,
    /// When it arrived.
    pub began: Timestamp,
    /// Latency objective.
    pub objective: Duration,
    /// When it must have started at the latest to be served before its deadline.
    pub deadline: Timestamp,
}

/// Whether a call may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
    /// It may start at this target; the router has counted it there.
    Start(SlotTag),
    /// It cannot be served in time.
    Refused {
        /// Expected wait for a slot.
        expected: Duration,
    },
    /// No coordinator answers.
    Unmanaged,
}

/// Result of a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotResult {
    /// The decision is made.
    Decided(SlotDecision),
    /// The call waits for its decision.
    Waiting(SlotTicket),
}

/// State of an account, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotView {
    /// Calls that the router may have in flight.
    pub allowed: u32,
    /// Calls that it has in flight.
    pub in_use: u32,
    /// Calls that wait here.
    pub waiting: usize,
    /// Age of the last grant; `None` if there is none.
    pub age: Option<Duration>,
}

#[derive(Debug)]
struct TargetSlots {
    tag: SlotTag,
    slots: u16,
    allowed: u16,
    in_use: u16,
    ended: u32,
    ended_time: Duration,
}

#[derive(Debug)]
struct WaitingCall {
    ticket: SlotTicket,
    call: SlotCall,
}

#[derive(Clone, Copy, Debug)]
struct LastGrant {
    sequence: u32,
    number: u32,
    at: Timestamp,
    waiting: u32,
}

/// The account of one service.
#[derive(Debug)]
pub struct SlotAccount {
    boot: BootId,
    service: ServiceTag,
    routers: usize,
    links: CoordinatorLinks,
    targets: Vec<TargetSlots>,
    /// Waiting calls by priority, then by age.
    waiting: Vec<WaitingCall>,
    next_ticket: u64,
    decided: Vec<(SlotTicket, SlotDecision)>,
    run_ms: f64,
    sequence: u32,
    reported: Option<Timestamp>,
    grant: Option<LastGrant>,
    /// When another coordinator took over; `None` before the first time.
    switched: Option<Timestamp>,
    /// Whether the coordinator lacks a change that it must know.
    is_due: bool,
}

impl SlotAccount {
    /// Starts without coordinators and targets; `boot` identifies this start of the router. The account of a service
    /// may begin anew at the same router, and its reports must be newer than the earlier ones.
    pub fn new(boot: BootId, service: ServiceTag, now: Timestamp) -> Self {
        Self {
            boot,
            service,
            routers: 1,
            links: CoordinatorLinks::default(),
            targets: Vec::new(),
            waiting: Vec::new(),
            next_ticket: 0,
            decided: Vec::new(),
            run_ms: 0.0,
            sequence: now.as_millis() as u32,
            reported: None,
            grant: None,
            switched: None,
            is_due: true,
        }
    }

    /// Sets the targets, in the order in which the router prefers them, with their slots; the targets whose loaders
    /// may coordinate; and the number of routers. The counts of targets that stay are kept.
    pub fn set_fleet(
        &mut self,
        targets: &[(SlotTag, u16)],
        coordinators: &[InstanceId],
        routers: usize,
    ) {
        self.routers = routers.max(1);
        self.links.set_targets(self.service, coordinators);
        let known = std::mem::take(&mut self.targets);
        let mut known: HashMap<SlotTag, TargetSlots> =
            known.into_iter().map(|target| (target.tag, target)).collect();
        for &(tag, slots) in targets {
            let target = known.remove(&tag).unwrap_or_else(|| {
                self.is_due = true;
                TargetSlots {
                    tag,
                    slots,
                    allowed: 0,
                    in_use: 0,
                    ended: 0,
                    ended_time: Duration::ZERO,
                }
            });
            self.targets.push(TargetSlots { slots, ..target });
        }
        self.is_due |= !known.is_empty();
    }

    /// Whether a coordinator has granted slots and still answers, or has just taken over.
    pub fn is_managed(&self, now: Timestamp) -> bool {
        let is_recent = |switched| now.saturating_sub(switched) < TAKEOVER_WAIT;
        self.links.current().is_some()
            && (self.grant.is_some() || self.switched.is_some_and(is_recent))
    }

    /// Sets the estimated time of a run in ms, which is used until a run has been measured.
    pub fn set_first_run(&mut self, run_ms: f64) {
        if self.run_ms <= 0.0 {
            self.run_ms = run_ms;
        }
    }

    /// Requests a slot for a call.
    pub fn request(&mut self, call: SlotCall, now: Timestamp) -> SlotResult {
        self.advance(now);
        if !self.is_managed(now) {
            return SlotResult::Decided(SlotDecision::Unmanaged);
        }
        if let Some(tag) = self.start(&call.targets) {
            return SlotResult::Decided(SlotDecision::Start(tag));
        }
        let ahead = self.waiting.iter().filter(|other| other.call.priority <= call.priority);
        let expected = self.expected_wait(ahead.count(), now);
        if now + expected > self.latest_start(&call) || self.waiting.len() >= MAX_WAITING {
            return SlotResult::Decided(SlotDecision::Refused { expected });
        }
        let ticket = SlotTicket(self.next_ticket);
        self.next_ticket += 1;
        let order = (call.priority, call.began);
        let index =
            self.waiting.partition_point(|other| (other.call.priority, other.call.began) <= order);
        self.waiting.insert(index, WaitingCall { ticket, call });
        self.is_due = true;
        SlotResult::Waiting(ticket)
    }

    /// Removes a call that no longer waits.
    pub fn cancel(&mut self, ticket: SlotTicket) {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.is_due |= self.waiting.len() < before;
        self.decided.retain(|(decided, decision)| {
            let is_cancelled = *decided == ticket;
            if let (true, SlotDecision::Start(tag)) = (is_cancelled, decision)
                && let Some(target) = self.targets.iter_mut().find(|target| target.tag == *tag)
            {
                target.in_use = target.in_use.saturating_sub(1);
            }
            !is_cancelled
        });
    }

    /// Counts a call that starts at a target without a slot, because no coordinator answers.
    pub fn count(&mut self, tag: SlotTag) {
        if let Some(target) = self.target_mut(tag) {
            target.in_use += 1;
        }
    }

    /// Returns the slot of a call that has ended; `run` is the time from its send to its end, if it was answered.
    pub fn release(&mut self, tag: SlotTag, run: Option<Duration>, now: Timestamp) {
        if let Some(run) = run {
            let sample = run.as_secs_f64() * 1_000.0;
            let weight = if self.run_ms > 0.0 { RUN_WEIGHT } else { 1.0 };
            self.run_ms += (sample - self.run_ms) * weight;
        }
        let Some(target) = self.target_mut(tag) else { return };
        target.in_use = target.in_use.saturating_sub(1);
        if let Some(run) = run {
            target.ended += 1;
            target.ended_time += run;
        }
        let is_taken_back = target.in_use >= target.allowed;
        self.advance(now);
        let view = self.view(now);
        // One spare slot need not be reported while no call waits anywhere.
        let is_contended = self.grant.is_some_and(|grant| grant.waiting > 0);
        self.is_due |= is_taken_back || is_contended || view.allowed > view.in_use + 1;
    }

    /// Applies a grant of the loader at `from`.
    pub fn take_grant(&mut self, from: &InstanceId, grant: &SlotGrant, now: Timestamp) {
        let before = self.links.current().cloned();
        self.links.note_answer(from);
        if self.links.current() != Some(from) {
            return;
        }
        let is_same = before.as_ref() == Some(from);
        let is_old = self.grant.is_some_and(|last| {
            grant.sequence < last.sequence
                || (grant.sequence == last.sequence && is_same && grant.number < last.number)
        });
        if is_old || grant.sequence > self.sequence {
            return;
        }
        let had_waiting = !self.waiting.is_empty();
        let (sequence, number, waiting) = (grant.sequence, grant.number, grant.waiting);
        self.grant = Some(LastGrant { sequence, number, at: now, waiting });
        for target in &mut self.targets {
            let found = grant.targets.iter().find(|allowed| allowed.tag == target.tag);
            let allowed = found.map_or(0, |found| found.allowed);
            // The coordinator uses a slot for another router once it knows that this one has applied the change.
            self.is_due |= allowed < target.allowed && target.allowed > target.in_use;
            target.allowed = allowed;
        }
        self.advance(now);
        // Slots that were granted for calls that no longer wait.
        let view = self.view(now);
        self.is_due |= had_waiting && self.waiting.is_empty() && view.allowed > view.in_use;
    }

    /// Reports that are due, each with the target whose loader gets it.
    pub fn take_reports(&mut self, now: Timestamp) -> Vec<(InstanceId, SlotReport)> {
        self.advance(now);
        let mut receivers = self.links.take_probes(now);
        if self.is_report_due(now)
            && let Some(current) = self.links.current().cloned()
        {
            receivers.push(current);
            self.links.note_report(now);
            self.reported = Some(now);
            self.is_due = false;
        }
        if receivers.is_empty() {
            return Vec::new();
        }
        self.sequence += 1;
        let applied = self.grant.map_or(0, |grant| grant.number);
        let targets = self.targets.iter_mut().map(TargetSlots::report).collect();
        let waiting = u16::try_from(self.waiting.len()).unwrap_or(u16::MAX);
        let (boot, sequence, service) = (self.boot, self.sequence, self.service);
        let report = SlotReport { boot, sequence, service, targets, waiting, applied };
        receivers.into_iter().map(|receiver| (receiver, report.clone())).collect()
    }

    /// When [`Self::take_reports`] must be called next; `None` if nothing is pending.
    pub fn next_step(&self) -> Option<Timestamp> {
        let late = self.waiting.iter().map(|waiting| self.latest_start(&waiting.call)).min();
        let report = self.report_pause().map(|pause| self.reported.unwrap_or_default() + pause);
        late.into_iter().chain(report).min()
    }

    /// Decisions of calls that waited.
    pub fn take_decided(&mut self) -> Vec<(SlotTicket, SlotDecision)> {
        std::mem::take(&mut self.decided)
    }

    /// State for logs and metrics.
    pub fn view(&self, now: Timestamp) -> SlotView {
        SlotView {
            allowed: self.targets.iter().map(|target| u32::from(target.allowed)).sum(),
            in_use: self.targets.iter().map(|target| u32::from(target.in_use)).sum(),
            waiting: self.waiting.len(),
            age: self.grant.map(|grant| now.saturating_sub(grant.at)),
        }
    }

    /// Starts waiting calls that may start, and refuses those that are too late.
    pub fn advance(&mut self, now: Timestamp) {
        let before = self.links.current().cloned();
        self.links.refresh(now);
        if self.links.current() != before.as_ref() {
            // Slots of the silent coordinator are void; the next one answers within a few ms.
            self.grant = None;
            self.switched = Some(now);
            self.is_due = true;
            for target in &mut self.targets {
                target.allowed = 0;
            }
        }
        if !self.is_managed(now) {
            let waiting = self.waiting.drain(..);
            self.decided.extend(waiting.map(|call| (call.ticket, SlotDecision::Unmanaged)));
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting| {
            let decision = if now > self.latest_start(&waiting.call) {
                let expected = now.saturating_sub(waiting.call.began);
                Some(SlotDecision::Refused { expected })
            } else {
                self.start(&waiting.call.targets).map(SlotDecision::Start)
            };
            // Otherwise the coordinator would give a slot for a call that no longer waits.
            self.is_due |= matches!(decision, Some(SlotDecision::Refused { .. }));
            self.decided.extend(decision.map(|decision| (waiting.ticket, decision)));
            decision.is_none()
        });
        self.waiting = waiting;
    }

    fn start(&mut self, usable: &[SlotTag]) -> Option<SlotTag> {
        let free = |tag: &&SlotTag| {
            let target = self.targets.iter().find(|target| target.tag == **tag);
            target.is_some_and(|target| target.in_use < target.allowed)
        };
        let tag = *usable.iter().find(free)?;
        self.count(tag);
        // While no call waits anywhere, the coordinator gives another spare slot.
        let is_contended = self.grant.is_some_and(|grant| grant.waiting > 0);
        let is_last = self.targets.iter().all(|target| target.in_use >= target.allowed);
        self.is_due |= is_last && !is_contended;
        Some(tag)
    }

    /// When a call must start at the latest to meet its objective.
    fn latest_start(&self, call: &SlotCall) -> Timestamp {
        let run = Duration::from_secs_f64(self.run_ms / 1_000.0);
        let objective = call.objective.max(run.mul_f64(MIN_OBJECTIVE_RUNS));
        let start = (call.began + objective).saturating_sub(run.mul_f64(RUN_MARGIN));
        start.min(call.deadline)
    }

    /// Expected wait of a call with `ahead` waiting calls before it.
    fn expected_wait(&self, ahead: usize, now: Timestamp) -> Duration {
        let allowed: u32 = self.targets.iter().map(|target| u32::from(target.allowed)).sum();
        let limit: u32 = self.targets.iter().map(|target| in_flight_limit(target.slots)).sum();
        let fresh = self.grant.filter(|grant| now.saturating_sub(grant.at) < WAITING_TTL);
        let waiting = fresh.map_or(0, |grant| grant.waiting as usize);
        // Slots pass from router to router while more routers wait than there are slots: a router without any gets
        // an equal share of them over time.
        let contending = waiting.clamp(1, self.routers);
        let share = f64::from(limit.max(1)) / contending as f64;
        let ahead = if allowed == 0 && waiting > 0 { ahead + 1 } else { ahead };
        let millis = ahead as f64 * self.run_ms / share.max(f64::from(allowed));
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn is_report_due(&self, now: Timestamp) -> bool {
        let Some(reported) = self.reported else { return !self.targets.is_empty() };
        self.report_pause().is_some_and(|pause| now.saturating_sub(reported) >= pause)
    }

    /// Time from the last report to the next one; `None` if none is due.
    fn report_pause(&self) -> Option<Duration> {
        let is_active = self.targets.iter().any(|target| target.allowed > 0 || target.in_use > 0);
        if self.is_due {
            Some(MIN_REPORT_PAUSE)
        } else if self.links.is_unanswered() {
            Some(RETRY_PAUSE)
        } else if !self.waiting.is_empty() {
            Some(WAIT_REPORT_PAUSE)
        } else {
            is_active.then_some(REPORT_PAUSE)
        }
    }

    fn target_mut(&mut self, tag: SlotTag) -> Option<&mut TargetSlots> {
        self.targets.iter_mut().find(|target| target.tag == tag)
    }
}

impl TargetSlots {
    /// The report of this target; begins a new mean of run times.
    fn report(&mut self) -> SlotUse {
        let time = std::mem::take(&mut self.ended_time);
        let run = time.checked_div(std::mem::take(&mut self.ended)).unwrap_or_default();
        let run_ms = u16::try_from(run.as_millis()).unwrap_or(u16::MAX);
        SlotUse { tag: self.tag, slots: self.slots, in_use: self.in_use, run_ms }
    }
}
