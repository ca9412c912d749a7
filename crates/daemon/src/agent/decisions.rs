//! The decisions duty of an agent: owns its state machine and handles one command at a time.

use super::{
    permits::PermitJob,
    streams::ReplySender,
    targets::{RunJob, TargetJob},
};
use crate::{options::AgentSettings, telemetry::names};
use metrics::{counter, gauge, histogram};
use plantain_core::{
    agent::{
        AgentOptions, AgentState,
        events::{AgentAction, AgentEvent, LoadResult, OfferSummary, WorkId},
    },
    ids::{AdapterKey, Timestamp},
    outcome::{Refusal, RefusalReason},
    protocol::{AgentFrame, OfferFrame, PROTOCOL_VERSION, TargetReport},
    target::TargetKind,
};
use serde_json::{Value, json};
use slog::{Logger, debug, info};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

/// Pause between checks of deadlines and permits.
const TICK_PAUSE: Duration = Duration::from_millis(20);
/// Shift, in bits, of the slot's epoch to the start value of the resident set's counter, so that the
/// counters of two processes that held the slot never have a value in common.
const EPOCH_SHIFT: u32 = 32;

/// Sends commands to the decisions duty.
pub type CommandSender = mpsc::Sender<AgentCommand>;

/// Channels between this duty and the others.
pub struct DecisionChannels {
    /// Commands from all other duties.
    pub commands: mpsc::Receiver<AgentCommand>,
    /// Work for the target.
    pub jobs: mpsc::Sender<TargetJob>,
    /// Requests for load permits.
    pub permits: mpsc::Sender<PermitJob>,
}

/// A command to the decisions duty.
#[derive(Debug)]
pub enum AgentCommand {
    /// An entry offers a request.
    Offer {
        /// The offer.
        offer: Arc<OfferFrame>,
        /// Channel to the entry's stream, for the answer.
        replies: ReplySender,
        /// Receives the number that the request gets at this agent.
        work: oneshot::Sender<WorkId>,
    },
    /// The entry releases a reserved request.
    Release(WorkId),
    /// The entry gave up the request or disconnected.
    Cancel(WorkId),
    /// A request has ended at the target.
    Ended {
        /// The request.
        work: WorkId,
        /// Time from its start to its end at the target.
        service_time: Duration,
        /// Receives the report that goes into the answer's `End` frame.
        report: oneshot::Sender<TargetReport>,
    },
    /// The target could not be reached, so the request was not run.
    Unsent(WorkId),
    /// An event that is passed to the state machine unchanged.
    Event(AgentEvent),
    /// A load order ended.
    LoadEnded {
        /// The adapter.
        key: AdapterKey,
        /// Whether the adapter was loaded.
        result: LoadResult,
        /// Time from the order to the engine's answer.
        took: Duration,
    },
    /// Return the state for the status page.
    Status(oneshot::Sender<Value>),
    /// Accept no more work, and signal when all work has ended.
    Stop(oneshot::Sender<()>),
}

struct WorkChannel {
    offer: Arc<OfferFrame>,
    replies: ReplySender,
    cancel: Option<oneshot::Sender<()>>,
}

struct DecisionDuty {
    settings: Arc<AgentSettings>,
    state: AgentState,
    work_channels: HashMap<WorkId, WorkChannel>,
    jobs: mpsc::Sender<TargetJob>,
    permits: mpsc::Sender<PermitJob>,
    next_work: WorkId,
    started: Instant,
    drained: Option<oneshot::Sender<()>>,
    thrash: u64,
    logger: Logger,
}

/// Runs until all senders of commands are dropped.
pub async fn run(
    settings: Arc<AgentSettings>,
    channels: DecisionChannels,
    mut epoch: watch::Receiver<u64>,
    logger: Logger,
) {
    // No command is handled before the slot is taken; offers wait in the channel until then.
    let Ok(slot_epoch) = epoch.wait_for(|epoch| *epoch > 0).await.map(|e| *e) else { return };
    let DecisionChannels { mut commands, jobs, permits } = channels;
    let mut duty = DecisionDuty::new(settings, jobs, permits, slot_epoch, logger);
    let mut ticks = interval(TICK_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => duty.handle(command),
                None => return,
            },
            _ = ticks.tick() => duty.tick(),
        }
    }
}

impl DecisionDuty {
    fn new(
        settings: Arc<AgentSettings>,
        jobs: mpsc::Sender<TargetJob>,
        permits: mpsc::Sender<PermitJob>,
        epoch: u64,
        logger: Logger,
    ) -> Self {
        let options = AgentOptions {
            kind: settings.kind.clone(),
            slots: settings.slots,
            batch_limit: settings.batch_limit,
            load_limit: settings.load_limit,
            eviction: settings.eviction,
            residency_base: epoch << EPOCH_SHIFT,
        };
        Self {
            state: AgentState::new(options),
            settings,
            work_channels: HashMap::new(),
            jobs,
            permits,
            next_work: 0,
            started: Instant::now(),
            drained: None,
            thrash: 0,
            logger,
        }
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    fn handle(&mut self, command: AgentCommand) {
        match command {
            AgentCommand::Offer { offer, replies, work } => self.offer(offer, replies, work),
            AgentCommand::Release(work) => self.handle_event(AgentEvent::Released(work)),
            AgentCommand::Cancel(work) => self.cancel(work),
            AgentCommand::Ended { work, service_time, report } => {
                self.handle_event(AgentEvent::Finished { work, service_time });
                let known = self
                    .work_channels
                    .remove(&work)
                    .map_or(0, |channel| channel.offer.known_residency);
                let _ = report.send(self.state.report(known, self.now()));
            }
            AgentCommand::Unsent(work) => self.unsent(work),
            AgentCommand::Event(event) => self.handle_event(event),
            AgentCommand::LoadEnded { key, result, took } => self.load_ended(key, result, took),
            AgentCommand::Status(reply) => {
                let _ = reply.send(self.status());
            }
            AgentCommand::Stop(drained) => {
                self.drained = Some(drained);
                self.handle_event(AgentEvent::Stopping);
            }
        }
        self.check_drained();
    }

    fn offer(
        &mut self,
        offer: Arc<OfferFrame>,
        replies: ReplySender,
        number: oneshot::Sender<WorkId>,
    ) {
        let work = self.next_work;
        self.next_work += 1;
        if number.send(work).is_err() {
            return;
        }
        let wrong_protocol = offer.protocol != PROTOCOL_VERSION;
        let summary = OfferSummary {
            work,
            item: offer.work.clone(),
            idempotent: offer.idempotent,
            priority: offer.priority,
            caller: offer.caller.clone(),
            share: offer.share,
            time_left: offer.time_left,
            revision: offer.revision,
        };
        self.work_channels.insert(work, WorkChannel { offer, replies, cancel: None });
        if wrong_protocol {
            return self.refuse(work, Refusal::new(RefusalReason::WrongProtocol));
        }
        self.handle_event(AgentEvent::Offered(Box::new(summary)));
    }

    fn cancel(&mut self, work: WorkId) {
        self.handle_event(AgentEvent::Cancelled(work));
        // Work that has started keeps its channel until it has ended at the target.
        let is_running =
            self.work_channels.get(&work).is_some_and(|channel| channel.cancel.is_some());
        if !is_running {
            self.work_channels.remove(&work);
        }
    }

    /// Refuses a request because the target accepted no connection. The request was not run, so the entry
    /// may retry it at another target.
    fn unsent(&mut self, work: WorkId) {
        self.handle_event(AgentEvent::Finished { work, service_time: Duration::ZERO });
        self.refuse(work, Refusal::new(RefusalReason::TargetDown));
    }

    fn load_ended(&mut self, key: AdapterKey, result: LoadResult, took: Duration) {
        let label = match result {
            LoadResult::Loaded => "loaded",
            LoadResult::Failed => "failed",
            LoadResult::StoreBusy => "store_busy",
        };
        counter!(names::LOADS, "result" => label).increment(1);
        if result == LoadResult::Loaded {
            histogram!(names::LOAD_SECONDS).record(took.as_secs_f64());
        }
        info!(self.logger, "load ended"; "step" => "load", "adapter" => %key, "result" => label,
            "ms" => took.as_millis() as u64);
        self.send_permit_job(PermitJob::Release(key.clone()));
        self.handle_event(AgentEvent::LoadEnded { key, result, took });
    }

    fn tick(&mut self) {
        self.handle_event(AgentEvent::Tick);
        self.update_metrics();
        self.check_drained();
    }

    fn handle_event(&mut self, event: AgentEvent) {
        let now = self.now();
        for action in self.state.handle(event, now) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: AgentAction) {
        match action {
            AgentAction::Accept { work } => self.accept(work),
            AgentAction::Refuse { work, refusal } => self.refuse(work, refusal),
            AgentAction::Start { work, load_stall } => self.start(work, load_stall),
            AgentAction::Abort { work } => {
                let channel = self.work_channels.get_mut(&work);
                if let Some(cancel) = channel.and_then(|channel| channel.cancel.take()) {
                    let _ = cancel.send(());
                }
            }
            AgentAction::AskPermit { key, urgency } => {
                self.send_permit_job(PermitJob::Request(key, urgency));
            }
            AgentAction::DropPermit { key } => self.send_permit_job(PermitJob::Release(key)),
            AgentAction::Load { key } => self.send_job(TargetJob::Load(key)),
            AgentAction::Evict { key } => {
                counter!(names::EVICTIONS).increment(1);
                debug!(self.logger, "evict"; "step" => "evict", "adapter" => %key);
                self.send_job(TargetJob::Evict(key));
            }
        }
    }

    fn accept(&mut self, work: WorkId) {
        let Some(channel) = self.work_channels.get(&work) else { return };
        let report = self.state.report(channel.offer.known_residency, self.now());
        let request = channel.offer.request;
        // The channel is new, so it has capacity.
        let _ = channel.replies.try_send(AgentFrame::Accepted { request, report });
    }

    fn refuse(&mut self, work: WorkId, refusal: Refusal) {
        let Some(channel) = self.work_channels.remove(&work) else { return };
        counter!(names::REFUSALS, "reason" => refusal.reason.name()).increment(1);
        let report = self.state.report(channel.offer.known_residency, self.now());
        let request = channel.offer.request;
        let _ = channel.replies.try_send(AgentFrame::Refused { request, refusal, report });
    }

    fn start(&mut self, work: WorkId, load_stall: Duration) {
        let Some(channel) = self.work_channels.get_mut(&work) else { return };
        histogram!(names::LOAD_STALL_SECONDS).record(load_stall.as_secs_f64());
        let (cancel, cancelled) = oneshot::channel();
        channel.cancel = Some(cancel);
        let job = RunJob {
            work,
            offer: Arc::clone(&channel.offer),
            replies: channel.replies.clone(),
            load_stall,
            cancelled,
        };
        self.send_job(TargetJob::Run(job));
    }

    /// Sends a job for the target. The channel is never full: the state machine keeps the outstanding jobs
    /// (the batch, the loads and one eviction) far below its capacity.
    fn send_job(&mut self, job: TargetJob) {
        if let Err(error) = self.jobs.try_send(job) {
            slog::error!(self.logger, "job lost"; "step" => "order", "error" => %error);
        }
    }

    /// Sends a permit job. The channel is never full: the state machine never requests more permits at once
    /// than the engine's limit of concurrent loads.
    fn send_permit_job(&self, job: PermitJob) {
        if let Err(error) = self.permits.try_send(job) {
            slog::error!(self.logger, "permit job lost"; "step" => "permit", "error" => %error);
        }
    }

    fn update_metrics(&mut self) {
        let fill = f64::from(self.state.running()) / f64::from(self.settings.batch_limit);
        gauge!(names::BATCH_FILL).set(fill);
        if self.state.running() > 0 {
            histogram!(names::BATCH_FILL_RATIO).record(fill);
        }
        gauge!(names::RUNNING).set(f64::from(self.state.running()));
        gauge!(names::QUEUED).set(f64::from(self.state.queued()));
        let thrash = self.state.residents().thrash();
        counter!(names::THRASH).increment(thrash - self.thrash);
        self.thrash = thrash;
    }

    fn check_drained(&mut self) {
        if self.state.is_drained()
            && let Some(drained) = self.drained.take()
        {
            let _ = drained.send(());
        }
    }

    fn status(&self) -> Value {
        let report = self.state.report(0, self.now());
        let residents = self.state.residents();
        let keys: Vec<String> = residents.ready_keys().iter().map(ToString::to_string).collect();
        let is_engine = matches!(self.settings.kind, TargetKind::Engine(_));
        json!({
            "role": "agent", "name": self.settings.common.name,
            "zone": self.settings.common.zone, "region": self.settings.common.region,
            "serves": self.settings.kind, "revision": report.revision,
            "target_up": self.state.is_target_up(), "leased": self.state.is_leased(), "running": report.running, "queued": report.queued,
            "batch_limit": report.batch_limit, "leaving": report.leaving,
            "residents": is_engine.then_some(keys), "slots": self.settings.slots,
            "loads_wanted": self.state.loads_wanted(),
            "evictions": residents.evictions(), "thrash": residents.thrash(),
        })
    }
}
