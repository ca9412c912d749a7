//! The decisions duty of an entry: owns the routing state and handles one command at a time.

use crate::{options::EntrySettings, telemetry::names};
use metrics::{counter, gauge};
use plantain_core::{
    config::PresetRecord,
    entry::{EntryOptions, EntryState, RouteChoice, RouteQuery, ZoneRoundTrips},
    ids::TargetName,
    outcome::{NotRunProof, Refusal, RefusalReason},
    policy::RoutingPolicy,
    protocol::{TargetReport, WorkItem},
    target::TargetRecord,
};
use serde_json::{Value, json};
use std::{sync::Arc, time::Instant};
use tokio::sync::{mpsc, oneshot};

/// Sends commands to the decisions duty.
pub type DecisionSender = mpsc::Sender<DecisionCommand>;

/// How an offer ended; updates the entry's view of its target.
#[derive(Debug)]
pub enum OfferEnd {
    /// The target answered.
    Answered,
    /// The agent refused it.
    Refused(Refusal),
    /// The agent or its target failed, or could not be reached.
    Failed,
    /// The caller disconnected.
    Dropped,
}

/// Commands to the decisions duty.
#[derive(Debug)]
pub enum DecisionCommand {
    /// Choose a target.
    Choose {
        /// The adapter or service that the request needs.
        work: WorkItem,
        /// Targets that already refused or failed the request.
        excluded: Vec<TargetName>,
        /// Receives the choice, or why no target can be offered the request.
        reply: oneshot::Sender<Result<RouteChoice, NotRunProof>>,
    },
    /// An agent's frame carried a report on its target.
    Report {
        /// The target that the report is about.
        target: TargetName,
        /// Its load and resident adapters.
        report: TargetReport,
    },
    /// An offer ended.
    Ended {
        /// The target that got the offer.
        target: TargetName,
        /// Its result.
        end: OfferEnd,
    },
    /// The list of targets changed on the platform.
    Targets(Vec<TargetRecord>),
    /// The active preset changed.
    Preset(PresetRecord),
    /// Lists the known targets, for an entry that starts during a platform outage.
    ListTargets(oneshot::Sender<Vec<TargetRecord>>),
    /// Describes the routing state, for the status page.
    Status(oneshot::Sender<Value>),
}

/// Handles commands until all senders are dropped.
pub async fn run(settings: Arc<EntrySettings>, mut commands: mpsc::Receiver<DecisionCommand>) {
    let options = EntryOptions {
        region: settings.common.region.clone(),
        zone: settings.common.zone.clone(),
        round_trips: ZoneRoundTrips::default(),
        policy: settings.policy,
    };
    let mut duty = DecisionDuty { state: EntryState::new(options), started: Instant::now() };
    while let Some(command) = commands.recv().await {
        duty.handle(command);
    }
}

struct DecisionDuty {
    state: EntryState<RoutingPolicy>,
    started: Instant,
}

impl DecisionDuty {
    fn handle(&mut self, command: DecisionCommand) {
        match command {
            DecisionCommand::Choose { work, excluded, reply } => {
                let _ = reply.send(self.choose(&work, &excluded));
            }
            DecisionCommand::Report { target, report } => self.state.apply_report(&target, report),
            DecisionCommand::Ended { target, end } => self.record_end(&target, &end),
            DecisionCommand::Targets(records) => {
                gauge!(names::TARGETS).set(records.len() as f64);
                self.state.set_targets(records);
            }
            DecisionCommand::ListTargets(reply) => {
                let views = self.state.targets().views().iter();
                let _ = reply.send(views.map(|view| view.record.clone()).collect());
            }
            DecisionCommand::Preset(preset) => self.state.apply_preset(&preset),
            DecisionCommand::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn choose(
        &mut self,
        work: &WorkItem,
        excluded: &[TargetName],
    ) -> Result<RouteChoice, NotRunProof> {
        if !excluded.is_empty() {
            // Every offer after the first is a retry. The budget keeps retries a small share of the
            // load.
            if !self.state.budget().try_spend() {
                return Err(NotRunProof::never_offered(RefusalReason::RetryBudget, None));
            }
            counter!(names::RETRIES).increment(1);
        }
        let query = RouteQuery { work, excluded, draw: rand::random() };
        self.state.choose(&query, self.started.elapsed())
    }

    fn record_end(&mut self, target: &TargetName, end: &OfferEnd) {
        let now = self.started.elapsed();
        match end {
            OfferEnd::Answered => self.state.offer_answered(target),
            OfferEnd::Refused(refusal) => self.state.offer_refused(target, refusal, now),
            OfferEnd::Failed => self.state.offer_failed(target, now),
            OfferEnd::Dropped => self.state.offer_dropped(target),
        }
    }

    fn status(&self) -> Value {
        let now = self.started.elapsed();
        let targets: Vec<Value> = self
            .state
            .targets()
            .views()
            .iter()
            .map(|view| {
                json!({
                    "target": view.record.name, "kind": view.record.kind,
                    "zone": view.record.zone, "region": view.record.region,
                    "peer": view.record.peer, "epoch": view.record.epoch,
                    "open": view.is_open(now), "in_flight": view.in_flight(),
                })
            })
            .collect();
        json!({ "targets": targets })
    }
}
