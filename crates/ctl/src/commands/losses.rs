//! Counts of late and lost calls by cause, from routers' logs.

use super::CommandError;
use crate::output::{self, TableRow};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
};

/// Value of `step` in the log lines about calls.
const CALL_STEP: &str = "call";

/// A router's log line about a call that ended. Lines without the objective are skipped.
#[derive(Debug, Deserialize)]
struct CallLine {
    step: String,
    outcome: String,
    objective_ms: u64,
    first_byte_ms: Option<u64>,
    #[serde(default)]
    load_wait_ms: u64,
    #[serde(default)]
    sends: u32,
}

/// Outcome of a call, and the cause if it was late or lost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LossCause {
    /// The first byte came within the objective.
    InTime,
    /// Late; the wait for the adapter took at least half of the time to the first byte.
    LoadWait,
    /// Late; the wait for the adapter took less than half of the time to the first byte.
    Target,
    /// The target answered with an error.
    TargetFailed,
    /// The stream broke after its first byte.
    BrokenOff,
    /// The target stopped responding, or closed the connection before it answered.
    Unknown,
    /// Refused without having been run.
    Refused,
    /// The caller disconnected before the call was sent to a target.
    LeftWaiting,
    /// The caller disconnected after the call was sent to a target.
    LeftRunning,
    /// The request was invalid.
    Rejected,
}

impl LossCause {
    fn new(line: &CallLine) -> Option<Self> {
        let cause = match line.outcome.as_str() {
            "served" => Self::classify_served(line),
            "target_failed" => Self::TargetFailed,
            "broken_off" => Self::BrokenOff,
            "unknown" => Self::Unknown,
            "not_run" => Self::Refused,
            "caller_left" if line.sends == 0 => Self::LeftWaiting,
            "caller_left" => Self::LeftRunning,
            "rejected" => Self::Rejected,
            _ => return None,
        };
        Some(cause)
    }

    fn classify_served(line: &CallLine) -> Self {
        let first_byte = line.first_byte_ms.unwrap_or(0);
        if first_byte <= line.objective_ms {
            Self::InTime
        } else if line.load_wait_ms * 2 >= first_byte {
            Self::LoadWait
        } else {
            Self::Target
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::LoadWait => "late: adapter",
            Self::Target => "late: target",
            Self::TargetFailed => "target failed",
            Self::BrokenOff => "stream cut",
            Self::Unknown => "target silent",
            Self::Refused => "refused",
            Self::LeftWaiting => "caller left, waiting",
            Self::LeftRunning => "caller left, running",
            Self::Rejected => "request wrong",
        }
    }
}

/// Sums over the calls with one cause.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LossRow {
    /// Cause that the calls share.
    pub cause: LossCause,
    /// Number of calls.
    pub calls: u64,
    /// Total milliseconds by which first bytes missed the objective.
    pub late_ms: u64,
    /// Total milliseconds of waiting for adapters.
    pub load_wait_ms: u64,
}

impl TableRow for LossRow {
    const HEADS: &'static [&'static str] = &["CAUSE", "CALLS", "LATE", "WAITED FOR ADAPTERS"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.cause.name().to_owned(),
            self.calls.to_string(),
            format!("{:.1} s", self.late_ms as f64 / 1_000.0),
            format!("{:.1} s", self.load_wait_ms as f64 / 1_000.0),
        ]
    }
}

/// Sums the log lines about calls by cause. Other lines, and any text before a line's JSON, are skipped.
pub fn sum_losses(lines: impl Iterator<Item = String>) -> Vec<LossRow> {
    let mut rows: BTreeMap<LossCause, LossRow> = BTreeMap::new();
    for line in lines.filter_map(|text| parse_line(&text)) {
        let Some(cause) = LossCause::new(&line) else { continue };
        let row =
            rows.entry(cause).or_insert(LossRow { cause, calls: 0, late_ms: 0, load_wait_ms: 0 });
        row.calls += 1;
        row.late_ms += line.first_byte_ms.unwrap_or(0).saturating_sub(line.objective_ms);
        row.load_wait_ms += line.load_wait_ms;
    }
    rows.into_values().collect()
}

fn parse_line(text: &str) -> Option<CallLine> {
    let document = &text[text.find('{')?..];
    let line: CallLine = serde_json::from_str(document).ok()?;
    (line.step == CALL_STEP).then_some(line)
}

/// Prints the table of causes for the given log files, or for standard input if there are none.
pub fn execute(files: &[PathBuf], json: bool) -> Result<(), CommandError> {
    let rows = if files.is_empty() {
        sum_losses(read_lines(io::stdin().lock()))
    } else {
        let readers: Result<Vec<_>, _> = files.iter().map(open).collect();
        sum_losses(readers?.into_iter().flat_map(read_lines))
    };
    if rows.is_empty() {
        return Err(CommandError::Invalid("no line about a call; are these routers' logs?".into()));
    }
    output::print_rows(&rows, json);
    Ok(())
}

fn open(path: &PathBuf) -> Result<BufReader<File>, CommandError> {
    let file = File::open(path);
    file.map(BufReader::new)
        .map_err(|error| CommandError::Invalid(format!("read {}: {error}", path.display())))
}

fn read_lines(reader: impl BufRead) -> impl Iterator<Item = String> {
    // Other programs may write bytes to the log that are not UTF-8; they are replaced.
    reader
        .split(b'\n')
        .map_while(Result::ok)
        .map(|line| String::from_utf8_lossy(&line).into_owned())
}
