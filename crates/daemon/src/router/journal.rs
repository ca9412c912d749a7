//! The request log: one line per call, limited in rate, never blocking.

use super::constants;
use crate::clock;
use metrics::{counter, histogram};
use plantain_core::{
    direct::{
        call::{AdapterId, CallId, FirstCall, ResumePoint},
        config::ConfigNumber,
        limits::terms::UsageCost,
        membership::TargetIncarnation,
    },
    fingerprint::CallFingerprint,
    ids::{AdapterVersion, CustomerName, SoftwareVersion, Timestamp},
};
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
    fmt::Write,
    time::Duration,
};

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    /// A target's success was relayed completely.
    Served,
    /// A target's failure was relayed.
    TargetFailed,
    /// It did not run, and the reply to the caller says so.
    NotRun,
    /// It may have run; the reply to the caller says that the outcome is unknown.
    Unknown,
    /// A stream broke off after its first byte.
    BrokenOff,
    /// The caller disconnected before the end.
    CallerLeft,
    /// The request was rejected at admission.
    Rejected,
}

impl CallEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::TargetFailed => "target_failed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::BrokenOff => "broken_off",
            Self::CallerLeft => "caller_left",
            Self::Rejected => "rejected",
        }
    }
}

/// Phase of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum CallPhase {
    /// The call waits for a target, or for its adapter at the chosen target.
    #[default]
    Waiting,
    /// It was sent to a target that has not answered yet.
    Sent,
    /// A target's answer is being received.
    Answering,
}

impl CallPhase {
    fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// Contents of a call's log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallRecord {
    /// Id that the caller gave the call; `None` if it sent none.
    pub(crate) id: Option<CallId>,
    /// Hash of the request's content, equal for equal requests.
    pub(crate) fingerprint: CallFingerprint,
    /// Hashes of the parts of its prompt, in order; empty if it declares none.
    pub(crate) parts: Vec<u64>,
    /// Customer that sent the call; `None` for an anonymous or unknown caller.
    pub(crate) customer: Option<CustomerName>,
    /// Units charged to the customer's limit; `None` without a limit.
    pub(crate) cost: Option<UsageCost>,
    /// Name of the route.
    pub(crate) route: String,
    /// The route's objective for the time to the first byte.
    pub(crate) objective: Duration,
    /// Number of the configuration that applied.
    pub(crate) config: ConfigNumber,
    /// Adapter of the call, and the version that its last target held.
    pub(crate) adapter: Option<(AdapterId, Option<AdapterVersion>)>,
    /// Last target that the call was sent to.
    pub(crate) target: Option<TargetIncarnation>,
    /// Version of that target's software when the call was sent; `None` if unknown.
    pub(crate) software: Option<SoftwareVersion>,
    /// Where the caller asked to resume a stream; `None` for a call from the beginning.
    pub(crate) resume: Option<ResumePoint>,
    /// Age of the loader's report when the call was sent; `None` without a report.
    pub(crate) report_age: Option<Duration>,
    /// Reports requested from loaders for this call.
    pub(crate) report_requests: u32,
    /// Number of sends after which the call ran at the target, or may have run there.
    pub(crate) runs: u32,
    /// Number of sends.
    pub(crate) sends: u32,
    /// Current phase; in the log line, the phase at its end.
    pub(crate) phase: CallPhase,
    /// Time from the call's arrival to its last send; `None` if it was never sent.
    pub(crate) last_send: Option<Duration>,
    /// Time spent waiting for targets and adapters.
    pub(crate) load_wait: Duration,
    /// Time from the call's arrival to the first byte of an answer; `None` without one.
    pub(crate) first_byte: Option<Duration>,
    /// Events of streams that targets sent completely.
    pub(crate) events: u64,
    /// Steps with their reasons, oldest first.
    pub(crate) trail: String,
}

impl CallRecord {
    /// Adds a step to the trail.
    pub(crate) fn note(&mut self, since: Duration, step: &str) {
        let gap = if self.trail.is_empty() { "" } else { "; " };
        let _ = write!(self.trail, "{gap}+{}ms {step}", since.as_millis());
    }
}

/// Writes calls' log lines, limited by a token bucket.
pub(crate) struct RequestJournal {
    logger: Logger,
    tokens: Cell<f64>,
    refilled: Cell<Timestamp>,
    dropped: Cell<u64>,
    warned: RefCell<Timestamp>,
}

impl RequestJournal {
    /// Starts with a full token bucket.
    pub(crate) fn new(logger: Logger) -> Self {
        Self {
            logger,
            tokens: Cell::new(constants::LOG_BURST),
            refilled: Cell::new(clock::now()),
            dropped: Cell::new(0),
            warned: RefCell::new(Duration::ZERO),
        }
    }

    /// Counts an ended call in the metrics and writes its log line. `left` is the time from the call's arrival to its
    /// caller's disconnect, if the call went on after that.
    pub(crate) fn finish(
        &self,
        record: &CallRecord,
        end: CallEnd,
        status: u16,
        took: Duration,
        left: Option<Duration>,
    ) {
        if left.is_some() {
            counter!("plantain_calls_without_caller_total").increment(1);
        }
        counter!("plantain_requests_total", "outcome" => end.name()).increment(1);
        histogram!("plantain_request_seconds").record(took.as_secs_f64());
        if let Some(first) = record.first_byte {
            histogram!("plantain_first_byte_seconds").record(first.as_secs_f64());
        }
        if !record.load_wait.is_zero() {
            histogram!("plantain_load_stall_seconds").record(record.load_wait.as_secs_f64());
        }
        if record.sends > 1 {
            counter!("plantain_retries_total").increment(u64::from(record.sends - 1));
        }
        if !self.take_token() {
            return;
        }
        let adapter = record.adapter.as_ref().map(|(id, version)| match version {
            Some(version) => format!("{}/{}@{version}", id.base, id.name),
            None => format!("{}/{}", id.base, id.name),
        });
        // Contents identify repeated requests and shared parts, which matter only if calls were not served.
        let is_logged = end != CallEnd::Served && record.fingerprint != 0;
        let fingerprint = is_logged.then(|| format!("{:032x}", record.fingerprint));
        let parts = is_logged.then(|| parts_text(&record.parts));
        info!(self.logger, "call ended"; "step" => "call",
            "id" => record.id.as_deref(), "fingerprint" => fingerprint, "parts" => parts, "outcome" => end.name(), "status" => status,
            "phase" => record.phase.name(),
            "customer" => record.customer.as_deref(), "cost" => record.cost, "route" => &record.route, "objective_ms" => record.objective.as_millis() as u64,
            "config" => record.config, "adapter" => adapter,
            "target" => record.target.as_ref().map(|incarnation| &*incarnation.id),
            "software" => record.software.as_deref(),
            "resume_after" => record.resume.as_ref().map(|resume| resume.event),
            "first_call" => record.resume.as_ref().map(first_call_text),
            "questions" => record.report_requests, "sends" => record.sends, "runs" => record.runs,
            "report_age_ms" => record.report_age.map(|age| age.as_millis() as u64),
            "sent_ms" => record.last_send.map(|sent| sent.as_millis() as u64),
            "caller_left_ms" => left.map(|left| left.as_millis() as u64),
            "load_wait_ms" => record.load_wait.as_millis() as u64,
            "first_byte_ms" => record.first_byte.map(|first| first.as_millis() as u64),
            "events" => record.events, "took_ms" => took.as_millis() as u64, "trail" => &record.trail);
    }

    fn take_token(&self) -> bool {
        let now = clock::now();
        let passed = now.saturating_sub(self.refilled.replace(now)).as_secs_f64();
        let tokens = (self.tokens.get() + passed * constants::LOG_RATE).min(constants::LOG_BURST);
        if tokens < 1.0 {
            self.tokens.set(tokens);
            self.dropped.set(self.dropped.get() + 1);
            counter!("plantain_log_lines_dropped_total").increment(1);
            return false;
        }
        self.tokens.set(tokens - 1.0);
        self.log_dropped(now);
        true
    }

    fn log_dropped(&self, now: Timestamp) {
        let mut warned = self.warned.borrow_mut();
        if self.dropped.get() > 0 && now.saturating_sub(*warned) > Duration::from_secs(1) {
            *warned = now;
            warn!(self.logger, "log lines dropped"; "step" => "log",
                "lines" => self.dropped.replace(0));
        }
    }
}

/// Hashes of prompt parts, for log lines.
fn parts_text(parts: &[u64]) -> String {
    let texts: Vec<String> = parts.iter().map(|hash| format!("{hash:x}")).collect();
    texts.join(",")
}

/// The first call of a resumed stream, for log lines.
fn first_call_text(resume: &ResumePoint) -> &str {
    match &resume.first_call {
        FirstCall::Named(id) => id,
        FirstCall::Missing => "missing",
        FirstCall::Unreadable => "unreadable",
    }
}
