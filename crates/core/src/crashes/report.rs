//! What routers and agents report of crashes: whole reports, kept by their sender's start and number.

use super::CRASH_TTL;
use crate::{
    direct::membership::TargetIncarnation,
    fingerprint::CallFingerprint,
    ids::{BootId, Timestamp},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::{
    collections::HashMap,
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

/// Crashes, and survivals, that a report holds: the calls that one router has at some ten targets which
/// end together. Bounds a report at about 13 kB on the wire.
pub const RECORD_LIMIT: usize = 256;
/// Records of all reports that a router keeps: 1 MB of memory. Far more than are reported within
/// [`CRASH_TTL`] unless the whole fleet's targets end again and again.
const LEDGER_LIMIT: usize = 32_768;
/// Time after which a report that was not renewed is dropped: its sender is gone, or has nothing to report,
/// for it renews its report when its crashes no longer count.
pub const REPORT_TTL: Duration = CRASH_TTL.saturating_mul(2);

/// Hash of a target's incarnation.
pub type IncarnationHash = u64;

/// A call that was at a target. In documents for people it is text: JSON's numbers may lose digits beyond
/// 53 bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashRecord {
    /// The call.
    pub call: CallFingerprint,
    /// The incarnation of the target.
    pub target: IncarnationHash,
}

impl CrashRecord {
    /// A call at an incarnation of a target.
    pub fn new(call: CallFingerprint, target: &TargetIncarnation) -> Self {
        Self { call, target: target.stable_hash() }
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

/// All that one router or agent reports of crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Name of the router or agent.
    pub router: Arc<str>,
    /// Its start.
    pub boot: BootId,
    /// Grows with each change in this start.
    pub sequence: u32,
    /// Calls that were at targets when these ended.
    pub crashes: Vec<CrashRecord>,
    /// Crashes that no longer count, one for each later run of the call that came to its end.
    pub survivals: Vec<CrashRecord>,
}

impl CrashReport {
    /// Adds what an earlier start of the same router had reported.
    pub fn add_earlier(&mut self, earlier: &Self) {
        add_missing(&mut self.crashes, &earlier.crashes);
        add_missing(&mut self.survivals, &earlier.survivals);
    }

    /// Whether this one is newer than another of the same start.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.sequence, self.size()) > (known.sequence, known.size())
    }

    /// Whether it reports nothing but that its sender is there.
    pub fn is_empty(&self) -> bool {
        self.size() == 0
    }

    pub(super) fn size(&self) -> usize {
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
    /// Takes a report; returns whether it is new.
    pub fn take(&mut self, report: &Arc<CrashReport>, now: Timestamp) -> bool {
        let known = self.told.get(&report.boot);
        if known.is_some_and(|known| !report.is_newer_than(&known.report)) {
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
            let is_kept = now.saturating_sub(told.taken) < REPORT_TTL;
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
