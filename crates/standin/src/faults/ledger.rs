//! What callers were told, and how it compares with what was executed.

use super::draw::FaultWindow;
use crate::{engine::EngineRecords, service::CallRecord};
use serde::Serialize;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// Characters of what a caller was told that are kept.
const DETAIL_LENGTH: usize = 160;

/// What a caller was told of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// A whole and right answer.
    Answered,
    /// It was not run.
    NotRun,
    /// It may have run, or the connection broke.
    Unknown,
}

/// One attempt of a completion.
#[derive(Clone, Debug)]
pub struct ChatRecord {
    /// Request id.
    pub id: String,
    /// When it was asked, from the start.
    pub asked: Duration,
    /// When it ended, from the start.
    pub ended: Duration,
    /// What the caller was told.
    pub told: Told,
    /// Why the answer is wrong, if it is.
    pub wrong: Option<String>,
    /// What was told, for the log.
    pub detail: String,
}

/// One attempt of a stamp.
#[derive(Clone, Debug)]
pub struct StampRecord {
    /// Its key.
    pub key: String,
    /// What the caller was told.
    pub told: Told,
}

/// All that callers were told.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Completions.
    pub chats: Vec<ChatRecord>,
    /// Stamps.
    pub stamps: Vec<StampRecord>,
    /// Ready processes that went back to an older configuration.
    pub reversions: Vec<String>,
    /// Changes of the configuration that were accepted.
    pub changes: u64,
}

/// Availability during one kind of fault.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Availability {
    /// Completions asked for.
    pub asked: u64,
    /// Completions answered whole.
    pub answered: u64,
}

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Seed.
    pub seed: u64,
    /// Completions asked for.
    pub requests: usize,
    /// Completions answered whole.
    pub answers_whole: usize,
    /// Stamps asked for, retries included.
    pub stamps: usize,
    /// Stamps executed.
    pub stamps_executed: usize,
    /// Changes of the configuration accepted.
    pub changes: u64,
    /// Answers of another adapter or version, or with other content.
    pub wrong_adapter: usize,
    /// Adapters evicted while in use.
    pub evicted_in_use: u64,
    /// Attempts told not run that ran.
    pub not_run_but_ran: usize,
    /// Keys executed more than once.
    pub executed_twice: usize,
    /// Processes that went back to an older configuration.
    pub reversions: usize,
    /// Answers cut by a planned stop.
    pub cut_by_planned_stop: usize,
    /// Availability of completions by kind of fault.
    pub availability: BTreeMap<String, Availability>,
    /// Completions without an answer, by the fault in force and what the caller was told.
    pub failures: BTreeMap<String, u64>,
    /// One line each.
    pub violations: Vec<String>,
}

impl FaultReport {
    /// Compares.
    pub fn new(
        ledger: &Ledger,
        engines: &[EngineRecords],
        calls: &[CallRecord],
        windows: &[FaultWindow],
        seed: u64,
    ) -> Self {
        let mut violations = Vec::new();
        let wrong = wrong_answers(ledger, &mut violations);
        let ran = told_not_run(ledger, engines, calls, &mut violations);
        let twice = executed_twice(calls, &mut violations);
        let cut = cut_by_stops(ledger, windows, &mut violations);
        let evicted: u64 = engines.iter().map(|records| records.evicted_in_use).sum();
        if evicted > 0 {
            violations.push(format!("evicted in use: {evicted}"));
        }
        violations.extend(ledger.reversions.iter().cloned());
        let whole = ledger.chats.iter().filter(|chat| chat.told == Told::Answered).count();
        Self {
            seed,
            requests: ledger.chats.len(),
            answers_whole: whole,
            stamps: ledger.stamps.len(),
            stamps_executed: stamped(calls).count(),
            changes: ledger.changes,
            wrong_adapter: wrong,
            evicted_in_use: evicted,
            not_run_but_ran: ran,
            executed_twice: twice,
            reversions: ledger.reversions.len(),
            cut_by_planned_stop: cut,
            availability: availability(ledger, windows),
            failures: failures(ledger, windows),
            violations,
        }
    }

    /// Prints the outcome.
    pub fn print(&self) {
        println!(
            "seed {}: {} completions, {} whole; {} stamps asked, {} executed; {} changes",
            self.seed,
            self.requests,
            self.answers_whole,
            self.stamps,
            self.stamps_executed,
            self.changes
        );
        println!(
            "wrong {}, evicted in use {}, told not run but ran {}, executed twice {}, \
             reversions {}, cut by a planned stop {}",
            self.wrong_adapter,
            self.evicted_in_use,
            self.not_run_but_ran,
            self.executed_twice,
            self.reversions,
            self.cut_by_planned_stop
        );
        for (kind, availability) in &self.availability {
            let share = availability.answered as f64 / availability.asked.max(1) as f64 * 100.0;
            println!("  {kind:<24} {:>6} asked {share:>8.2}% answered", availability.asked);
        }
        for (failure, count) in &self.failures {
            println!("  {count:>4} x {failure}");
        }
        for violation in &self.violations {
            println!("VIOLATION {violation}");
        }
    }
}

fn wrong_answers(ledger: &Ledger, violations: &mut Vec<String>) -> usize {
    let wrong = ledger.chats.iter().filter_map(|chat| Some((chat, chat.wrong.as_ref()?)));
    let lines: Vec<String> =
        wrong.map(|(chat, problem)| format!("wrong answer to {}: {problem}", chat.id)).collect();
    violations.extend(lines.iter().cloned());
    lines.len()
}

fn stamped(calls: &[CallRecord]) -> impl Iterator<Item = &CallRecord> {
    calls.iter().filter(|call| call.method == "POST")
}

fn told_not_run(
    ledger: &Ledger,
    engines: &[EngineRecords],
    calls: &[CallRecord],
    violations: &mut Vec<String>,
) -> usize {
    let executed: HashSet<&str> =
        engines.iter().flat_map(|records| &records.executed).map(String::as_str).collect();
    let mut lines: Vec<String> = ledger
        .chats
        .iter()
        .filter(|chat| chat.told == Told::NotRun && executed.contains(chat.id.as_str()))
        .map(|chat| format!("completion {} was told not run, but ran: {}", chat.id, chat.detail))
        .collect();
    let keys: HashSet<&str> = stamped(calls).filter_map(|call| call.key.as_deref()).collect();
    let mut told: HashMap<&str, Vec<Told>> = HashMap::new();
    for stamp in &ledger.stamps {
        told.entry(&stamp.key).or_default().push(stamp.told);
    }
    let never = told.iter().filter(|(_, all)| all.iter().all(|told| *told == Told::NotRun));
    let ran = never.filter(|(key, _)| keys.contains(**key));
    lines.extend(ran.map(|(key, _)| format!("stamp {key} was told not run, but ran")));
    violations.extend(lines.iter().cloned());
    lines.len()
}

fn executed_twice(calls: &[CallRecord], violations: &mut Vec<String>) -> usize {
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for key in stamped(calls).filter_map(|call| call.key.as_deref()) {
        *counts.entry(key).or_default() += 1;
    }
    let twice: Vec<String> = counts
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(key, count)| format!("stamp {key} was executed {count} times"))
        .collect();
    violations.extend(twice.iter().cloned());
    twice.len()
}

/// Completions that ended without an answer while nothing but a planned stop was going on.
fn cut_by_stops(ledger: &Ledger, windows: &[FaultWindow], violations: &mut Vec<String>) -> usize {
    let is_stop = |window: &&FaultWindow| window.kind.starts_with("stop ");
    let alone = |stop: &&FaultWindow| {
        !windows.iter().any(|other| {
            !other.kind.starts_with("stop ") && other.from < stop.to && other.to > stop.from
        })
    };
    let mut lines = Vec::new();
    for stop in windows.iter().filter(is_stop).filter(alone) {
        let cut = ledger.chats.iter().filter(|chat| {
            chat.told == Told::Unknown && chat.asked >= stop.from && chat.ended <= stop.to
        });
        lines.extend(cut.map(|chat| format!("{} cut {}: {}", stop.kind, chat.id, chat.detail)));
    }
    violations.extend(lines.iter().cloned());
    lines.len()
}

fn availability(ledger: &Ledger, windows: &[FaultWindow]) -> BTreeMap<String, Availability> {
    let mut kinds: BTreeMap<String, Availability> = BTreeMap::new();
    for chat in &ledger.chats {
        let entry = kinds.entry(fault_of(chat, windows).to_owned()).or_default();
        entry.asked += 1;
        entry.answered += u64::from(chat.told == Told::Answered);
    }
    kinds
}

/// The fault that was in force when a completion was asked for.
fn fault_of<'a>(chat: &ChatRecord, windows: &'a [FaultWindow]) -> &'a str {
    let mut active = windows.iter().filter(|w| chat.asked >= w.from && chat.asked < w.to);
    match (active.next(), active.next()) {
        (None, _) => "none",
        (Some(one), None) => &one.kind,
        _ => "two at once",
    }
}

fn failures(ledger: &Ledger, windows: &[FaultWindow]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for chat in ledger.chats.iter().filter(|chat| chat.told != Told::Answered) {
        let last = windows.iter().rfind(|window| window.to <= chat.asked);
        let after = last.map_or("nothing", |window| &window.kind);
        let told: String = chat.detail.chars().take(DETAIL_LENGTH).collect();
        let line = format!("{} (after {after}): {told}", fault_of(chat, windows));
        *counts.entry(line).or_default() += 1;
    }
    counts
}
