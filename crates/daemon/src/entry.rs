//! The entry role: accepts callers' requests, chooses a target for each, offers the request to the
//! target's agent and streams the answer back.

pub mod broker;
pub mod callers;
pub(crate) mod crashes;
pub mod decisions;
pub mod exchange;
mod follow;
mod forward;
pub mod idempotency;
pub mod join;
pub mod offers;
pub mod platform;
pub mod replays;
pub mod reply;
pub mod request;
pub mod status;

use crate::{
    duty, logging,
    options::{EntrySettings, constants},
    telemetry,
};
use callers::{CallerChannels, CallerContext};
use crashes::QuarantinedCalls;
use eyre::{Result, WrapErr};
use plantain_core::config::ConfigSnapshot;
use plantain_net::{platform::EraTracker, server};
use platform::PlatformSenders;
use slog::info;
use status::{EntrySignals, EntryStatus};
use std::sync::Arc;
use tokio::{
    runtime::Builder,
    sync::{mpsc, watch},
    task::{LocalSet, spawn_local},
};

/// Runs an entry until it gets a stop signal, then until all requests in flight have ended, for at most
/// [`constants::DRAIN_TIMEOUT`].
pub fn run(settings: EntrySettings) -> Result<()> {
    let (logger, _flush) = logging::start(&settings.common, "entry");
    let metrics = telemetry::install()?;
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    let settings = Arc::new(settings);
    LocalSet::new().block_on(&runtime, async {
        let callers = server::bind(settings.listen, "callers' address").await?;
        let admin = server::bind(settings.common.admin, "admin address").await?;
        let stopping = duty::stop_signal()?;
        let (decisions, command_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let (offers, offer_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let (config_sender, config) = watch::channel(Arc::new(ConfigSnapshot::empty()));
        let (ended_sender, ended) = watch::channel(false);
        let (quarantine_sender, quarantined) = watch::channel(QuarantinedCalls::default());

        let decision_settings = settings.clone();
        duty::start("decisions", move || decisions::run(decision_settings, command_receiver))?;
        let (offer_settings, log) = (settings.clone(), logger.clone());
        // Callers and peers share a thread: each answer passes through both, and a hand-over
        // between threads costs more than the work on either side. See docs/design/threads.md.
        spawn_local(offers::run(offer_settings, offer_receiver, log));
        let (duty_settings, log) = (settings.clone(), logger.clone());
        let (duty_config, commands) = (config.clone(), decisions.clone());
        duty::start("broker", move || broker::run(duty_settings, duty_config, commands, log))?;
        let (records, record_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let (duty_settings, log) = (settings.clone(), logger.clone());
        let eras = EraTracker::default();
        let duty_eras = eras.clone();
        duty::start("idempotency", move || {
            idempotency::run(duty_settings, record_receiver, duty_eras, log)
        })?;
        let duty_eras = eras.clone();
        let signals = Arc::new(EntrySignals::default());
        let (duty_settings, commands, log) = (settings.clone(), decisions.clone(), logger.clone());
        let duty_signals = Arc::clone(&signals);
        let senders = PlatformSenders { config: config_sender, quarantined: quarantine_sender };
        duty::start("platform", move || {
            platform::run(duty_settings, senders, commands, duty_signals, duty_eras, log)
        })?;
        let status = EntryStatus::new(
            settings.clone(),
            config.clone(),
            decisions.clone(),
            stopping.clone(),
            signals,
        );
        let admin = admin.into_std().wrap_err("hand over admin address")?;
        let source = status.clone();
        duty::start("telemetry", move || async move {
            let admin = tokio::net::TcpListener::from_std(admin).expect("a bound listener");
            telemetry::run(admin, metrics, source, ended).await;
        })?;

        info!(logger, "entry listens"; "step" => "start", "listen" => %settings.listen);
        let channels = CallerChannels { decisions, offers, records };
        let context =
            CallerContext::new(settings, config, quarantined, channels, status, logger.clone());
        callers::run(callers, context, stopping).await;
        info!(logger, "all requests ended"; "step" => "stop");
        ended_sender.send_replace(true);
        Ok(())
    })
}
