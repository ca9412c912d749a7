//! The agent role: proxies all requests and orders to one target. No other process calls that target.

mod crashes;
pub mod decisions;
pub mod engine;
pub mod permits;
pub mod platform;
pub mod streams;
pub mod targets;

use crate::{
    duty, link, logging,
    options::{AgentSettings, constants},
    telemetry::{self, StatusSource},
};
use decisions::{AgentCommand, CommandSender};
use eyre::{Result, WrapErr};
use plantain_net::{platform::EraTracker, server};
use serde_json::Value;
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{mpsc, oneshot, watch},
    task::{LocalSet, spawn_local},
    time::timeout,
};

/// Longest wait, after all work has ended, until the last answers have reached their entries.
const FLUSH_TIME: Duration = Duration::from_secs(5);

/// Runs an agent until a stop signal arrives, then until all accepted work has ended, for at most
/// [`constants::DRAIN_TIMEOUT`].
pub fn run(settings: AgentSettings) -> Result<()> {
    let (logger, _flush) = logging::start(&settings.common, "agent");
    let metrics = telemetry::install()?;
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    let settings = Arc::new(settings);
    LocalSet::new().block_on(&runtime, async {
        let admin = server::bind(settings.common.admin, "admin address").await?;
        let endpoint = link::server_endpoint(settings.listen, &settings.common.keys)?;
        let mut stopping = duty::stop_signal()?;
        let (commands, command_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let (jobs, job_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let (permits, permit_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let (entry_sender, entries) = watch::channel(Vec::new());
        let (epoch_sender, epoch) = watch::channel(0);
        let (ended_sender, ended) = watch::channel(false);

        let (agent_settings, command_sender, log) =
            (settings.clone(), commands.clone(), logger.clone());
        let slot_epoch = epoch.clone();
        // Targets and streams share this thread, because answers pass straight from one to the other.
        // See docs/design/threads.md.
        let eras = EraTracker::default();
        let channels = targets::TargetChannels { jobs: job_receiver, commands: command_sender };
        spawn_local(targets::run(agent_settings, channels, slot_epoch, eras.clone(), log));
        let (agent_settings, command_sender, log) =
            (settings.clone(), commands.clone(), logger.clone());
        let stop = stopping.clone();
        let senders = platform::PlatformSenders {
            epoch: epoch_sender,
            eras: eras.clone(),
            entries: entry_sender,
        };
        duty::start("platform", move || {
            platform::run(agent_settings, command_sender, senders, stop, log)
        })?;
        let (agent_settings, command_sender, log) =
            (settings.clone(), commands.clone(), logger.clone());
        duty::start("permits", move || {
            permits::run(agent_settings, permit_receiver, entries, command_sender, log)
        })?;
        let source = AgentStatus { commands: commands.clone(), epoch: epoch.clone() };
        let admin = admin.into_std().wrap_err("hand over admin address")?;
        duty::start("telemetry", move || async move {
            let admin = TcpListener::from_std(admin).expect("a bound listener");
            telemetry::run(admin, metrics, source, ended).await;
        })?;
        let (agent_settings, log, slot_epoch) = (settings.clone(), logger.clone(), epoch.clone());
        let channels = decisions::DecisionChannels { commands: command_receiver, jobs, permits };
        duty::start("decisions", move || {
            decisions::run(agent_settings, channels, slot_epoch, log)
        })?;

        info!(logger, "agent listens"; "step" => "start", "listen" => %settings.listen,
            "peer" => %settings.target);
        let streams = streams::StreamServer::new(endpoint, commands.clone(), logger.clone());
        let serving = streams.clone();
        spawn_local(async move { serving.run().await });

        let _ = stopping.wait_for(|stop| *stop).await;
        info!(logger, "agent stops"; "step" => "stop");
        let (drained, drain) = oneshot::channel();
        let _ = commands.send(AgentCommand::Stop(drained)).await;
        let _ = timeout(constants::DRAIN_TIMEOUT, drain).await;
        let _ = timeout(FLUSH_TIME, streams.wait_idle()).await;
        info!(logger, "all work ended"; "step" => "stop");
        ended_sender.send_replace(true);
        Ok(())
    })
}

#[derive(Clone)]
struct AgentStatus {
    commands: CommandSender,
    epoch: watch::Receiver<u64>,
}

impl StatusSource for AgentStatus {
    fn is_ready(&self) -> bool {
        *self.epoch.borrow() > 0
    }

    async fn status(&self) -> Value {
        let (sender, receiver) = oneshot::channel();
        let _ = self.commands.send(AgentCommand::Status(sender)).await;
        receiver.await.unwrap_or_default()
    }
}
