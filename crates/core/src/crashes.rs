//! Requests that end the targets which run them, and how all routers come to know them.
//!
//! Pattern: a request whose run ends its target comes again under a new id, at any router, and takes target
//! after target down with all that they have in flight. A router rarely sees more than one of these
//! crashes, and cannot tell which of the broken calls was at fault. So each router tells which calls were
//! at a target when it ended; a call that was at [`HOLD_CRASHES`] of them is not handed to any more.
//!
//! Reports are whole and kept by their teller's start and number: lost, late and doubled ones cost time
//! alone. A restarted router reads what all have told from where it is kept.

use crate::{
    direct::{membership::TargetLife, messages::BootId},
    fingerprint::CallFingerprint,
    ids::Timestamp,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
    sync::Arc,
    time::Duration,
};
use xxhash_rust::xxh3::Xxh3;

/// Targets that must have ended under a call before it is held back. An innocent call shares one crash by
/// chance, and two if its caller's one retry meets the same culprit; the third is what no chance explains.
pub const HOLD_CRASHES: usize = 3;
/// Time for which a crash counts against a call. Callers give up on a request within a minute or so; one
/// that comes by the hour costs three targets each time, and a call held by mistake is free after this.
pub const CRASH_LIFE: Duration = Duration::from_mins(10);
/// Crashes, and survivals, that a report holds: the calls that one router has at some ten targets which
/// end together. Bounds a report at about 13 kB on the wire.
pub const RECORD_LIMIT: usize = 256;
/// Records of all reports that a router keeps: 1 MB of memory. Far more than are told within
/// [`CRASH_LIFE`] unless the whole fleet's targets end again and again.
const LEDGER_LIMIT: usize = 32_768;
/// Time after which a report that was not renewed is dropped: its teller is gone, or has nothing to tell,
/// for it renews its report when its crashes no longer count.
pub const REPORT_LIFE: Duration = CRASH_LIFE.saturating_mul(2);
/// Time for which a run whose end is unknown may prove to have been under way when its target ended: a
/// target that falls silent leaves the list after three missed heartbeats, some 4 s.
const OPEN_RUN_LIFE: Duration = Duration::from_secs(6);
/// Runs with an unknown end that a router remembers; bounds memory at about 30 kB.
const OPEN_RUN_LIMIT: usize = 512;
/// Targets whose last answers a router remembers: more than a fleet has.
const ANSWER_LIMIT: usize = 2_048;
/// Ended lives that a router remembers, for calls that break off a little later than the first.
const ENDED_LIMIT: usize = 64;

/// Time for which a run that came to its end speaks for its call against crashes that show only afterwards:
/// as long as a crash may take to show, and the news of it to come.
const SURVIVAL_LIFE: Duration = Duration::from_secs(10);
/// Calls whose runs came to their ends lately, that a router remembers: some 100 a second. Bounds memory at
/// about 50 kB.
const SURVIVOR_LIMIT: usize = 1_024;

/// Hash of a target's life.
pub type LifeHash = u64;

/// A call that was at a target. In documents for people it is text: JSON's numbers may lose digits beyond
/// 53 bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashRecord {
    /// The call.
    pub call: CallFingerprint,
    /// The life of the target.
    pub target: LifeHash,
}

impl CrashRecord {
    /// A call at a life of a target.
    pub fn new(call: CallFingerprint, target: &TargetLife) -> Self {
        let mut hasher = Xxh3::new();
        // Not as a seed: short ids and starts that differ alike would cancel out.
        hasher.update(&target.started.unwrap_or_default().to_le_bytes());
        hasher.update(target.id.as_bytes());
        Self { call, target: hasher.digest() }
    }
}

impl Display for CrashRecord {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}:{:016x}", self.call, self.target)
    }
}

impl FromStr for CrashRecord {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (call, target) = text.split_once(':').ok_or_else(|| format!("`{text}` has no `:`"))?;
        let problem = |error: ParseIntError| format!("`{text}`: {error}");
        Ok(Self {
            call: u128::from_str_radix(call, 16).map_err(problem)?,
            target: u64::from_str_radix(target, 16).map_err(problem)?,
        })
    }
}

impl Serialize for CrashRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            (self.call, self.target).serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for CrashRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            let (call, target) = Deserialize::deserialize(deserializer)?;
            Ok(Self { call, target })
        }
    }
}

/// All that one router tells of crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Name of the router.
    pub router: Arc<str>,
    /// The router's start.
    pub boot: BootId,
    /// Grows with each change in this start.
    pub sequence: u32,
    /// Calls that were at targets when these ended.
    pub crashes: Vec<CrashRecord>,
    /// Crashes that no longer count, one for each later run of the call that came to its end.
    pub survivals: Vec<CrashRecord>,
}

impl CrashReport {
    /// Adds what an earlier start of the same router had told.
    pub fn add_earlier(&mut self, earlier: &Self) {
        add_missing(&mut self.crashes, &earlier.crashes);
        add_missing(&mut self.survivals, &earlier.survivals);
    }

    /// Whether this one tells more than another of the same start.
    pub fn is_news_after(&self, known: &Self) -> bool {
        let size = |report: &Self| report.crashes.len() + report.survivals.len();
        self.sequence > known.sequence
            || (self.sequence == known.sequence && size(self) > size(known))
    }

    fn size(&self) -> usize {
        self.crashes.len() + self.survivals.len()
    }
}

fn add_missing(records: &mut Vec<CrashRecord>, more: &[CrashRecord]) {
    for record in more {
        if records.len() < RECORD_LIMIT && !records.contains(record) {
            records.push(*record);
        }
    }
}

#[derive(Debug)]
struct ToldReport {
    report: Arc<CrashReport>,
    taken: Timestamp,
}

/// The newest report of each start of a router, bounded in number and age.
#[derive(Debug, Default)]
pub struct CrashReports {
    told: HashMap<BootId, ToldReport>,
}

impl CrashReports {
    /// Takes a report; returns whether it is news.
    pub fn take(&mut self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let known = self.told.get(&report.boot);
        if known.is_some_and(|known| !report.is_news_after(&known.report)) {
            return false;
        }
        self.told.insert(report.boot, ToldReport { report: Arc::clone(report), taken: now });
        while self.iter().map(|report| 1 + report.size()).sum::<usize>() > LEDGER_LIMIT {
            let oldest = self.told.iter().min_by_key(|(_, told)| told.taken);
            let Some(boot) = oldest.map(|(boot, _)| *boot) else { break };
            self.told.remove(&boot);
        }
        true
    }

    /// Drops reports that were not renewed, and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Arc<CrashReport>> {
        let mut dropped = Vec::new();
        self.told.retain(|_, told| {
            let is_kept = now.saturating_sub(told.taken) < REPORT_LIFE;
            if !is_kept {
                dropped.push(Arc::clone(&told.report));
            }
            is_kept
        });
        dropped
    }

    /// All reports.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<CrashReport>> + Clone {
        self.told.values().map(|told| &told.report)
    }
}

/// What a router knows of crashes, its own and those that others told.
#[derive(Debug)]
pub struct CrashLedger {
    own: CrashReport,
    /// When each of the own crashes was recorded, in the order of the report.
    recorded: VecDeque<Timestamp>,
    told: CrashReports,
    /// Calls whose runs came to their ends lately, and when the last one did.
    survivors: HashMap<CallFingerprint, Timestamp>,
}

impl CrashLedger {
    /// Starts with nothing known, at a start of a router.
    pub fn new(router: Arc<str>, boot: BootId) -> Self {
        let own = CrashReport { router, boot, ..CrashReport::default() };
        Self {
            own,
            recorded: VecDeque::new(),
            told: CrashReports::default(),
            survivors: HashMap::new(),
        }
    }

    /// What this router tells the others.
    pub fn own_report(&self) -> &CrashReport {
        &self.own
    }

    /// A target ended while it had these calls. Returns whether that was not known.
    pub fn record_crash(
        &mut self,
        target: &TargetLife,
        calls: &[CallFingerprint],
        now: Timestamp,
    ) -> bool {
        let mut is_news = false;
        // Those against which crashes speak already come first, so that the others do not push these out.
        let mut calls = calls.to_vec();
        calls.sort_by_cached_key(|call| Reverse(self.crashes_under(*call)));
        for &call in &calls {
            let record = CrashRecord::new(call, target);
            if self.own.crashes.contains(&record) {
                continue;
            }
            if self.own.crashes.len() >= RECORD_LIMIT {
                self.make_room();
            }
            self.own.crashes.push(record);
            self.recorded.push_back(now);
            is_news = true;
        }
        self.own.sequence += u32::from(is_news);
        let records: Vec<CrashRecord> =
            calls.iter().map(|call| CrashRecord::new(*call, target)).collect();
        self.clear_survivors(&records, now);
        is_news
    }

    /// Drops the oldest crash of a call that has no other, or else the oldest: the calls of a target that
    /// ended are mostly innocent, and must not push out one that ends target after target.
    fn make_room(&mut self) {
        let mut crashes = self.own.crashes.iter();
        let index = crashes.position(|record| self.crashes_under(record.call) < 2).unwrap_or(0);
        self.own.crashes.remove(index);
        self.recorded.remove(index);
    }

    /// A run of the call has come to its end, so that one crash less speaks against it, and none that
    /// shows only now. Returns whether any did.
    pub fn record_survival(&mut self, call: CallFingerprint, now: Timestamp) -> bool {
        if self.survivors.len() >= SURVIVOR_LIMIT {
            self.survivors.retain(|_, at| now.saturating_sub(*at) < SURVIVAL_LIFE);
        }
        if self.survivors.len() < SURVIVOR_LIMIT || self.survivors.contains_key(&call) {
            self.survivors.insert(call, now);
        }
        if self.is_empty() {
            return false;
        }
        let Some(target) = self.counted(call).first().copied() else { return false };
        self.clear(CrashRecord { call, target });
        true
    }

    /// Has those of these crashes count no more whose calls came to their ends lately. A crash shows, and
    /// is told, up to seconds after it; a call that is sent many times a second has survived by then.
    fn clear_survivors(&mut self, records: &[CrashRecord], now: Timestamp) {
        for record in records {
            let survived = self.survivors.get(&record.call);
            let is_recent = survived.is_some_and(|at| now.saturating_sub(*at) < SURVIVAL_LIFE);
            if is_recent && self.counted(record.call).contains(&record.target) {
                self.clear(*record);
            }
        }
    }

    fn clear(&mut self, record: CrashRecord) {
        if self.own.survivals.len() >= RECORD_LIMIT {
            self.own.survivals.remove(0);
        }
        self.own.survivals.push(record);
        self.own.sequence += 1;
    }

    /// Takes what another router tells; returns whether it is news. The own report changes too if calls are
    /// among it that came to their ends here lately.
    pub fn take_report(&mut self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let is_news = report.boot != self.own.boot && self.told.take(report, now);
        if is_news {
            self.clear_survivors(&report.crashes, now);
        }
        is_news
    }

    /// Drops what no longer counts; returns whether the own report has changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        self.told.expire(now);
        let is_old = |at: &Timestamp| now.saturating_sub(*at) >= CRASH_LIFE;
        let count = self.recorded.iter().take_while(|at| is_old(at)).count();
        if count == 0 {
            return false;
        }
        self.recorded.drain(..count);
        self.own.crashes.drain(..count);
        if self.own.crashes.is_empty() {
            self.own.survivals.clear();
        }
        self.own.sequence += 1;
        true
    }

    /// Whether nothing is known, so that no call need be looked at.
    pub fn is_empty(&self) -> bool {
        self.own.size() == 0 && self.told.iter().all(|report| report.size() == 0)
    }

    /// Targets that have ended under a call and count against it.
    pub fn crashes_under(&self, call: CallFingerprint) -> usize {
        self.counted(call).len()
    }

    /// Whether a call must not be handed to any target: enough have ended under it, of which no other call
    /// is the likelier cause.
    pub fn is_held(&self, call: CallFingerprint) -> bool {
        if self.is_empty() {
            return false;
        }
        let targets = self.counted(call);
        if targets.len() < HOLD_CRASHES {
            return false;
        }
        let unexplained =
            targets.iter().filter(|target| !self.is_explained(**target, targets.len()));
        unexplained.count() >= HOLD_CRASHES
    }

    /// Whether some call was at a target when it ended that has been at more ends than `crashes`. A call
    /// that ends target after target leaves many innocent ones with a few crashes each, but none of them
    /// with as many as its own.
    fn is_explained(&self, target: LifeHash, crashes: usize) -> bool {
        let reports = self.told.iter().map(|report| &**report).chain([&self.own]);
        let records = reports.flat_map(|report| &report.crashes);
        let calls: HashSet<CallFingerprint> =
            records.filter(|record| record.target == target).map(|record| record.call).collect();
        calls.into_iter().any(|call| {
            let others = self.counted(call);
            others.len() > crashes && others.contains(&target)
        })
    }

    /// All calls that must not be handed to any target.
    pub fn held_calls(&self) -> HashSet<CallFingerprint> {
        let reports = self.told.iter().map(|report| &**report).chain([&self.own]);
        let suspects: BTreeSet<CallFingerprint> =
            reports.flat_map(|report| &report.crashes).map(|record| record.call).collect();
        suspects.into_iter().filter(|call| self.is_held(*call)).collect()
    }

    fn counted(&self, call: CallFingerprint) -> BTreeSet<LifeHash> {
        let reports = || self.told.iter().map(|report| &**report).chain([&self.own]);
        let of_call = |records: &[CrashRecord]| -> Vec<LifeHash> {
            let own = records.iter().filter(|record| record.call == call);
            own.map(|record| record.target).collect()
        };
        let crashes: BTreeSet<LifeHash> =
            reports().flat_map(|report| of_call(&report.crashes)).collect();
        let survivals: BTreeSet<LifeHash> =
            reports().flat_map(|report| of_call(&report.survivals)).collect();
        &crashes - &survivals
    }
}

/// What is known of a target's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifePhase {
    /// It lives, as far as is known.
    Alive,
    /// It is leaving by plan, so that its end tells nothing of its calls.
    Leaving,
    /// It has ended.
    Ended,
}

/// A run whose end is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenRun {
    /// The call.
    pub call: CallFingerprint,
    /// When it was sent.
    pub sent: Timestamp,
    /// Whether its target broke it off; otherwise nobody waited any longer.
    pub is_broken: bool,
}

#[derive(Debug)]
struct LeftRun {
    target: TargetLife,
    run: OpenRun,
    left: Timestamp,
}

/// Runs of this router's calls whose ends are not known, until it shows whether their targets have ended.
#[derive(Debug, Default)]
pub struct OpenRuns {
    runs: VecDeque<LeftRun>,
    /// Lives that have ended, and when.
    ended: VecDeque<(TargetLife, Timestamp)>,
    /// When each target last answered.
    answers: HashMap<TargetLife, Timestamp>,
}

impl OpenRuns {
    /// A target answered: it lives, whatever it broke off before.
    pub fn note_answer(&mut self, target: &TargetLife, now: Timestamp) {
        if self.answers.len() >= ANSWER_LIMIT {
            self.answers.retain(|_, at| now.saturating_sub(*at) < OPEN_RUN_LIFE);
        }
        if let Some(at) = self.answers.get_mut(target) {
            *at = now;
        } else if self.answers.len() < ANSWER_LIMIT {
            self.answers.insert(target.clone(), now);
        }
    }

    /// A call left a target without word of how its run ended. Returns when the target ended, if that is
    /// known.
    pub fn add(&mut self, target: &TargetLife, run: OpenRun, now: Timestamp) -> Option<Timestamp> {
        let ended = self.ended.iter().find(|(life, _)| life == target);
        if let Some((_, at)) = ended {
            return Some(*at);
        }
        if self.runs.len() >= OPEN_RUN_LIMIT {
            self.runs.pop_front();
        }
        self.runs.push_back(LeftRun { target: target.clone(), run, left: now });
        None
    }

    /// The target has ended; returns the calls that may have ended it.
    ///
    /// It ended when it first broke a run off after its last answer. Runs that it had broken off before,
    /// and calls that were sent only afterwards, as through a proxy that goes on taking connections for
    /// it, have nothing to do with its end.
    pub fn take_ended(&mut self, target: &TargetLife, now: Timestamp) -> Vec<CallFingerprint> {
        let (taken, kept): (VecDeque<LeftRun>, VecDeque<LeftRun>) =
            self.runs.drain(..).partition(|left| left.target == *target);
        self.runs = kept;
        let last_answer = self.answers.remove(target).unwrap_or_default();
        let is_last = |left: &&LeftRun| left.run.is_broken && left.left >= last_answer;
        let ended = taken.iter().filter(is_last).map(|left| left.left).min().unwrap_or(now);
        if self.ended.len() >= ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.ended.push_back((target.clone(), ended));
        let is_suspect =
            |left: &&LeftRun| left.run.sent <= ended && (!left.run.is_broken || left.left >= ended);
        taken.iter().filter(is_suspect).map(|left| left.run.call).collect()
    }

    /// Drops runs that are too old or whose targets leave, and returns the targets that have ended.
    pub fn look(
        &mut self,
        phase: impl Fn(&TargetLife) -> LifePhase,
        now: Timestamp,
    ) -> Vec<TargetLife> {
        self.runs.retain(|run| now.saturating_sub(run.left) < OPEN_RUN_LIFE);
        let lives: BTreeSet<TargetLife> = self.runs.iter().map(|run| run.target.clone()).collect();
        let mut ended = Vec::new();
        for life in lives {
            match phase(&life) {
                LifePhase::Alive => {}
                LifePhase::Leaving => self.runs.retain(|run| run.target != life),
                LifePhase::Ended => ended.push(life),
            }
        }
        ended
    }
}
