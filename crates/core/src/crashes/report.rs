//! Crash reports that routers and agents send: each holds all of its sender's records and is identified by
//! boot id and sequence number.

use super::CRASH_TTL;
use crate::{
    direct::membership::TargetIncarnation,
    fingerprint::SuspectId,
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

/// Maximum number of crashes, and of survivals, in a report. It suffices for the calls of one router when some
/// ten targets end at the same time, and bounds a report at about 13 kB on the wire.
pub const RECORD_LIMIT: usize = 256;
/// Maximum number of records that a router keeps over all reports: 1 MB of memory. Routers report far fewer
/// within [`CRASH_TTL`], unless all targets of the fleet crash repeatedly.
const LEDGER_LIMIT: usize = 32_768;
/// Time after which a report that was not renewed is dropped: its sender is gone or has nothing to report,
/// because a sender also renews its report when crashes expire.
pub const REPORT_TTL: Duration = CRASH_TTL.saturating_mul(2);

/// Stable hash of a target's incarnation, the same in all processes.
pub type IncarnationHash = u64;

/// A suspect and an incarnation of a target that ended under it. Human-readable formats such as JSON hold the record as
/// text, because JSON numbers may lose digits beyond 53 bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashRecord {
    /// The call or the prompt part.
    pub suspect: SuspectId,
    /// Hash of the target's incarnation.
    pub target: IncarnationHash,
}

impl CrashRecord {
    /// Creates the record of a suspect that was at this incarnation of a target.
    pub fn new(suspect: SuspectId, target: &TargetIncarnation) -> Self {
        Self { suspect, target: target.stable_hash() }
    }
}

impl Display for CrashRecord {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}:{:016x}", self.suspect, self.target)
    }
}

impl FromStr for CrashRecord {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (suspect, target) =
            text.split_once(':').ok_or_else(|| format!("`{text}` has no `:`"))?;
        let problem = |error: ParseIntError| format!("`{text}`: {error}");
        Ok(Self {
            suspect: u128::from_str_radix(suspect, 16).map_err(problem)?,
            target: u64::from_str_radix(target, 16).map_err(problem)?,
        })
    }
}

impl Serialize for CrashRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            (self.suspect, self.target).serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for CrashRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            let (suspect, target) = Deserialize::deserialize(deserializer)?;
            Ok(Self { suspect, target })
        }
    }
}

/// All crash records of one router or agent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Name of the router or agent.
    pub router: Arc<str>,
    /// Boot id of the sender's process.
    pub boot: BootId,
    /// Grows with each change; starts again at 0 with a new `boot`.
    pub sequence: u32,
    /// Suspects that were at targets when the targets ended.
    pub crashes: Vec<CrashRecord>,
    /// Crashes that no longer count because a run with the suspect went well; a run clears one earlier crash.
    pub survivals: Vec<CrashRecord>,
}

impl CrashReport {
    /// Adds the records that an earlier process of the same router had reported.
    pub fn add_earlier(&mut self, earlier: &Self) {
        add_missing(&mut self.crashes, &earlier.crashes);
        add_missing(&mut self.survivals, &earlier.survivals);
    }

    /// Whether this report is newer than another one with the same `boot`: it has a higher sequence number, or
    /// the same one and more records.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.sequence, self.size()) > (known.sequence, known.size())
    }

    /// Whether it holds no records and only shows that its sender is running.
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
struct ReceivedReport {
    report: Arc<CrashReport>,
    taken: Timestamp,
}

/// The newest report of each boot id. The total number of records and the age of a report are bounded.
#[derive(Debug, Default)]
pub struct CrashReports {
    reports: HashMap<BootId, ReceivedReport>,
    /// Records of all reports, and one for each report.
    size: usize,
}

impl CrashReports {
    /// Stores a report if it is newer than the one known; returns the reports that it replaces or displaces, or
    /// `None` if it is not newer.
    pub fn take(
        &mut self,
        report: &Arc<CrashReport>,
        now: Timestamp,
    ) -> Option<Vec<Arc<CrashReport>>> {
        let known = self.reports.get(&report.boot);
        if known.is_some_and(|known| !report.is_newer_than(&known.report)) {
            return None;
        }
        let received = ReceivedReport { report: Arc::clone(report), taken: now };
        self.size += 1 + report.size();
        let replaced = self.reports.insert(report.boot, received);
        let mut dropped: Vec<Arc<CrashReport>> =
            replaced.into_iter().map(|known| known.report).collect();
        self.size -= dropped.iter().map(|known| 1 + known.size()).sum::<usize>();
        while self.size > LEDGER_LIMIT {
            let oldest = self.reports.iter().min_by_key(|(_, received)| received.taken);
            let Some(boot) = oldest.map(|(boot, _)| *boot) else { break };
            let Some(oldest) = self.reports.remove(&boot) else { break };
            self.size -= 1 + oldest.report.size();
            dropped.push(oldest.report);
        }
        Some(dropped)
    }

    /// Drops reports that were not renewed within [`REPORT_TTL`], and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Arc<CrashReport>> {
        let mut dropped = Vec::new();
        self.reports.retain(|_, received| {
            let is_kept = now.saturating_sub(received.taken) < REPORT_TTL;
            if !is_kept {
                dropped.push(Arc::clone(&received.report));
            }
            is_kept
        });
        self.size -= dropped.iter().map(|report| 1 + report.size()).sum::<usize>();
        dropped
    }

    /// Number of senders whose reports are stored.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no report is stored.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// All stored reports, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<CrashReport>> + Clone {
        self.reports.values().map(|received| &received.report)
    }
}
