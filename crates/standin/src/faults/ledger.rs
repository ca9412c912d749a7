//! Outcomes that callers saw, and their comparison with what was executed.

use super::draw::FaultWindow;
use crate::{engine::EngineRecords, service::CallRecord};
use serde::Serialize;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// Maximum length of an error detail in the report, in characters.
const DETAIL_LENGTH: usize = 160;

/// Outcome of one attempt as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete answer with the expected content.
    Answered,
    /// An error which states that the call was not run, or no connection was made.
    NotRun,
    /// Unknown outcome: it may have run, as when the connection broke or no answer came in time.
    Unknown,
}

/// Record of one chat completion.
#[derive(Clone, Debug)]
pub struct ChatRecord {
    /// Value of the `x-request-id` header.
    pub id: String,
    /// When it was sent, relative to the start of the run.
    pub sent_at: Duration,
    /// When it ended, relative to the start of the run.
    pub ended_at: Duration,
    /// Outcome that the caller saw.
    pub outcome: Outcome,
    /// Why the answer failed the check; absent if it passed or there was no answer.
    pub wrong: Option<String>,
    /// Error text for the report; empty for an answer.
    pub detail: String,
}

/// Record of one attempt of a stamp, a service call that must not run twice.
#[derive(Clone, Debug)]
pub struct StampRecord {
    /// Idempotency key; all attempts of a stamp share it.
    pub key: String,
    /// Outcome that the caller saw.
    pub outcome: Outcome,
}

/// Everything that callers, operators and observers recorded during a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Chat completions, in the order in which they ended.
    pub chats: Vec<ChatRecord>,
    /// Attempts of stamps, in the order in which they ended.
    pub stamps: Vec<StampRecord>,
    /// One line for each ready entry that reverted to an older configuration.
    pub reversions: Vec<String>,
    /// Configuration changes that were accepted.
    pub changes: u64,
}

/// Availability of completions during one kind of fault.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Availability {
    /// Completions sent.
    #[serde(rename = "asked")]
    pub sent: u64,
    /// Completions with a complete and correct answer.
    pub answered: u64,
}

/// Report of a run; its fields are the keys of the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Seed of the run.
    pub seed: u64,
    /// Completions sent.
    pub requests: usize,
    /// Completions with a complete and correct answer.
    #[serde(rename = "answers_whole")]
    pub correct_answers: usize,
    /// Attempts of stamps, retries included.
    pub stamps: usize,
    /// Executions of stamps at the service.
    pub stamps_executed: usize,
    /// Configuration changes that were accepted.
    pub changes: u64,
    /// Answers that came from another adapter or version, or had wrong content.
    pub wrong_adapter: usize,
    /// Adapters evicted while in use.
    pub evicted_in_use: u64,
    /// Completions and stamps that were reported as not run but ran.
    pub not_run_but_ran: usize,
    /// Stamps executed more than once.
    pub executed_twice: usize,
    /// Reversions of ready entries to an older configuration.
    pub reversions: usize,
    /// Completions whose outcome is unknown although a planned stop was the only active fault.
    pub cut_by_planned_stop: usize,
    /// Availability of completions by active fault.
    pub availability: BTreeMap<String, Availability>,
    /// Number of completions without an answer, by active fault, previous fault and error.
    pub failures: BTreeMap<String, u64>,
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
}

impl FaultReport {
    /// Checks the recorded outcomes against the records of engines and services.
    pub fn new(
        ledger: &Ledger,
        engines: &[EngineRecords],
        calls: &[CallRecord],
        windows: &[FaultWindow],
        seed: u64,
    ) -> Self {
        let mut violations = Vec::new();
        let wrong = check_answers(ledger, &mut violations);
        let ran = check_not_run(ledger, engines, calls, &mut violations);
        let twice = executed_twice(calls, &mut violations);
        let cut = check_planned_stops(ledger, windows, &mut violations);
        let evicted: u64 = engines.iter().map(|records| records.evicted_in_use).sum();
        if evicted > 0 {
            violations.push(format!("evicted in use: {evicted}"));
        }
        violations.extend(ledger.reversions.iter().cloned());
        let correct = ledger.chats.iter().filter(|chat| chat.outcome == Outcome::Answered).count();
        Self {
            seed,
            requests: ledger.chats.len(),
            correct_answers: correct,
            stamps: ledger.stamps.len(),
            stamps_executed: stamp_calls(calls).count(),
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

    /// Prints the report to standard output.
    pub fn print(&self) {
        println!(
            "seed {}: {} completions, {} whole; {} stamps asked, {} executed; {} changes",
            self.seed,
            self.requests,
            self.correct_answers,
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
            let share = availability.answered as f64 / availability.sent.max(1) as f64 * 100.0;
            println!("  {kind:<24} {:>6} asked {share:>8.2}% answered", availability.sent);
        }
        for (failure, count) in &self.failures {
            println!("  {count:>4} x {failure}");
        }
        for violation in &self.violations {
            println!("VIOLATION {violation}");
        }
    }
}

/// Counts answers that failed the check of adapter, version and content.
fn check_answers(ledger: &Ledger, violations: &mut Vec<String>) -> usize {
    let wrong = ledger.chats.iter().filter_map(|chat| Some((chat, chat.wrong.as_ref()?)));
    let lines: Vec<String> =
        wrong.map(|(chat, problem)| format!("wrong answer to {}: {problem}", chat.id)).collect();
    violations.extend(lines.iter().cloned());
    lines.len()
}

/// Selects the executed stamps among all calls that the services recorded.
fn stamp_calls(calls: &[CallRecord]) -> impl Iterator<Item = &CallRecord> {
    calls.iter().filter(|call| call.method == "POST")
}

/// Counts completions and stamps that ran although they were reported to their callers as not run.
/// A stamp counts only if all its attempts were reported as not run.
fn check_not_run(
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
        .filter(|chat| chat.outcome == Outcome::NotRun && executed.contains(chat.id.as_str()))
        .map(|chat| {
            format!("completion {} was reported as not run, but ran: {}", chat.id, chat.detail)
        })
        .collect();
    let keys: HashSet<&str> = stamp_calls(calls).filter_map(|call| call.key.as_deref()).collect();
    let mut outcomes: HashMap<&str, Vec<Outcome>> = HashMap::new();
    for stamp in &ledger.stamps {
        outcomes.entry(&stamp.key).or_default().push(stamp.outcome);
    }
    let reported_not_run =
        outcomes.iter().filter(|(_, all)| all.iter().all(|outcome| *outcome == Outcome::NotRun));
    let ran = reported_not_run.filter(|(key, _)| keys.contains(**key));
    lines.extend(ran.map(|(key, _)| format!("stamp {key} was reported as not run, but ran")));
    violations.extend(lines.iter().cloned());
    lines.len()
}

/// Counts idempotency keys that were executed more than once.
fn executed_twice(calls: &[CallRecord], violations: &mut Vec<String>) -> usize {
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for key in stamp_calls(calls).filter_map(|call| call.key.as_deref()) {
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

/// Counts completions with an unknown outcome that were sent and ended during a planned stop, while
/// no other kind of fault was active.
fn check_planned_stops(
    ledger: &Ledger,
    windows: &[FaultWindow],
    violations: &mut Vec<String>,
) -> usize {
    let is_stop = |window: &&FaultWindow| window.kind.starts_with("stop ");
    let alone = |stop: &&FaultWindow| {
        !windows.iter().any(|other| {
            !other.kind.starts_with("stop ") && other.from < stop.to && other.to > stop.from
        })
    };
    let mut lines = Vec::new();
    for stop in windows.iter().filter(is_stop).filter(alone) {
        let cut = ledger.chats.iter().filter(|chat| {
            chat.outcome == Outcome::Unknown
                && chat.sent_at >= stop.from
                && chat.ended_at <= stop.to
        });
        lines.extend(cut.map(|chat| format!("{} cut {}: {}", stop.kind, chat.id, chat.detail)));
    }
    violations.extend(lines.iter().cloned());
    lines.len()
}

/// Counts completions and answers by the fault that was active when they were sent.
fn availability(ledger: &Ledger, windows: &[FaultWindow]) -> BTreeMap<String, Availability> {
    let mut by_fault: BTreeMap<String, Availability> = BTreeMap::new();
    for chat in &ledger.chats {
        let entry = by_fault.entry(active_fault(chat, windows).to_owned()).or_default();
        entry.sent += 1;
        entry.answered += u64::from(chat.outcome == Outcome::Answered);
    }
    by_fault
}

/// Name of the fault that was active when a completion was sent.
fn active_fault<'a>(chat: &ChatRecord, windows: &'a [FaultWindow]) -> &'a str {
    let mut active = windows.iter().filter(|w| chat.sent_at >= w.from && chat.sent_at < w.to);
    match (active.next(), active.next()) {
        (None, _) => "none",
        (Some(one), None) => &one.kind,
        _ => "two at once",
    }
}

/// Counts completions without an answer by active fault, last fault that ended before, and error.
fn failures(ledger: &Ledger, windows: &[FaultWindow]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for chat in ledger.chats.iter().filter(|chat| chat.outcome != Outcome::Answered) {
        let last = windows.iter().rfind(|window| window.to <= chat.sent_at);
        let after = last.map_or("nothing", |window| &window.kind);
        let detail: String = chat.detail.chars().take(DETAIL_LENGTH).collect();
        let line = format!("{} (after {after}): {detail}", active_fault(chat, windows));
        *counts.entry(line).or_default() += 1;
    }
    counts
}
