//! Draws faults from a seeded generator, applies them and reverts them.

use super::{ENGINES, SharedCluster, ZONES, draw_pause, seeded_rng};
use crate::{
    engine::EngineFaults,
    fault::{DirectionFaults, ProxyFaults},
    platform::PlatformFaults,
};
use eyre::{Result, bail, ensure};
use nix::sys::signal::Signal;
use rand::{RngExt, rngs::StdRng};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of agents. The engines' agents have the lower indices; the services' agents follow.
const AGENTS: usize = ENGINES + super::SERVICES;
/// Probability that two faults are injected at the same time instead of one.
const DOUBLE_SHARE: f64 = 0.25;

/// Time during which a fault was active, relative to the start of the run.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// Name of the fault's kind.
    pub kind: String,
    /// When the fault was applied.
    pub from: Duration,
    /// When the fault had been reverted.
    pub to: Duration,
}

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultKind {
    KillEntry,
    KillAgent,
    FreezeEntry,
    FreezeAgent,
    CutLink,
    StallLinkUp,
    StallLinkDown,
    LossyLink,
    CutZone,
    PlatformDown,
    PlatformSlow,
    PlatformLosesAnswers,
    EngineRestart,
    LoadsFail,
    AnswersCut,
    AnswersForeign,
    StopEntry,
    StopAgent,
}

impl FaultKind {
    /// All kinds with their names. The order is part of the seeded draw.
    const ALL: [(Self, &'static str); 18] = [
        (Self::KillEntry, "kill entry"),
        (Self::KillAgent, "kill agent"),
        (Self::FreezeEntry, "freeze entry"),
        (Self::FreezeAgent, "freeze agent"),
        (Self::CutLink, "cut link"),
        (Self::StallLinkUp, "stall link up"),
        (Self::StallLinkDown, "stall link down"),
        (Self::LossyLink, "lossy link"),
        (Self::CutZone, "cut zone"),
        (Self::PlatformDown, "platform down"),
        (Self::PlatformSlow, "platform slow"),
        (Self::PlatformLosesAnswers, "platform loses answers"),
        (Self::EngineRestart, "engine restart"),
        (Self::LoadsFail, "loads fail"),
        (Self::AnswersCut, "answers cut"),
        (Self::AnswersForeign, "answers foreign"),
        (Self::StopEntry, "stop entry"),
        (Self::StopAgent, "stop agent"),
    ];
}

/// Draws and injects faults, and records when each one was active.
pub struct FaultInjector {
    cluster: SharedCluster,
    random: StdRng,
    begin: Instant,
    windows: Vec<FaultWindow>,
}

impl FaultInjector {
    /// Creates an injector; `begin` is the start of the run.
    pub fn new(cluster: SharedCluster, seed: u64, begin: Instant) -> Self {
        Self { cluster, random: seeded_rng(seed, 1), begin, windows: Vec::new() }
    }

    /// Injects faults for `time` and returns their windows. `only` restricts them to kinds whose
    /// name contains the text.
    pub async fn run(mut self, time: Duration, only: Option<&str>) -> Result<Vec<FaultWindow>> {
        let kinds: Vec<(FaultKind, &str)> = FaultKind::ALL
            .into_iter()
            .filter(|(_, name)| only.is_none_or(|only| name.contains(only)))
            .collect();
        if kinds.is_empty() {
            bail!("--only: no fault name contains `{}`", only.unwrap_or(""));
        }
        let end = Instant::now() + time;
        while Instant::now() < end {
            let first = kinds[self.random.random_range(0..kinds.len())];
            let second = kinds[self.random.random_range(0..kinds.len())];
            let double = self.random.random_bool(DOUBLE_SHARE) && first.0 != second.0;
            let fault_time = draw_pause(&mut self.random, 800, 2_500);
            let (one, other) = (self.draw_target(), self.draw_target());
            let from = self.begin.elapsed();
            self.apply(first.0, one).await?;
            if double {
                self.apply(second.0, other).await?;
            }
            sleep(fault_time).await;
            if double {
                self.revert(second.0, other).await?;
                self.record_window(second.1, from);
            }
            self.revert(first.0, one).await?;
            self.record_window(first.1, from);
            sleep(draw_pause(&mut self.random, 1_500, 3_000)).await;
        }
        Ok(self.windows)
    }

    /// Draws a number that selects the process to fault: its remainder modulo the number of
    /// processes of that kind is the index.
    fn draw_target(&mut self) -> usize {
        self.random.random_range(0..1_000)
    }

    /// Records the window of a fault that ends now.
    fn record_window(&mut self, kind: &str, from: Duration) {
        let to = self.begin.elapsed();
        self.windows.push(FaultWindow { kind: kind.to_owned(), from, to });
    }

    async fn apply(&self, kind: FaultKind, target: usize) -> Result<()> {
        let entry = format!("entry-{}", target % ZONES.len());
        let agent = agent_name(target % AGENTS);
        match kind {
            FaultKind::KillEntry => self.end_process(&entry, false).await,
            FaultKind::KillAgent => self.end_process(&agent, false).await,
            FaultKind::StopEntry => self.end_process(&entry, true).await,
            FaultKind::StopAgent => self.end_process(&agent, true).await,
            FaultKind::FreezeEntry => self.signal(&entry, Signal::SIGSTOP).await,
            FaultKind::FreezeAgent => self.signal(&agent, Signal::SIGSTOP).await,
            FaultKind::CutLink => {
                self.set_link_faults(
                    target % AGENTS,
                    ProxyFaults { cut: true, ..ProxyFaults::default() },
                )
                .await
            }
            FaultKind::StallLinkUp => {
                let up = DirectionFaults { stall: true, ..DirectionFaults::default() };
                self.set_link_faults(target % AGENTS, ProxyFaults { up, ..ProxyFaults::default() })
                    .await
            }
            FaultKind::StallLinkDown => {
                let down = DirectionFaults { stall: true, ..DirectionFaults::default() };
                self.set_link_faults(
                    target % AGENTS,
                    ProxyFaults { down, ..ProxyFaults::default() },
                )
                .await
            }
            FaultKind::LossyLink => {
                let lossy =
                    DirectionFaults { drop: 0.15, delay_ms: 5, ..DirectionFaults::default() };
                let faults = ProxyFaults { up: lossy, down: lossy, ..ProxyFaults::default() };
                self.set_link_faults(target % AGENTS, faults).await
            }
            FaultKind::CutZone => {
                let cut = ProxyFaults { cut: true, ..ProxyFaults::default() };
                self.set_zone_faults(target % ZONES.len(), cut).await
            }
            FaultKind::PlatformDown => {
                self.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() })
                    .await
            }
            FaultKind::PlatformSlow => {
                self.set_platform_faults(PlatformFaults {
                    delay_ms: 700,
                    ..PlatformFaults::default()
                })
                .await
            }
            FaultKind::PlatformLosesAnswers => {
                self.set_platform_faults(PlatformFaults {
                    lose_answers: 5,
                    ..PlatformFaults::default()
                })
                .await
            }
            FaultKind::EngineRestart => {
                let cluster = self.cluster.read().await;
                let engine = cluster.engine(target % ENGINES);
                cluster.set(engine, "/standin/restart", &json!({})).await
            }
            FaultKind::LoadsFail => {
                let faults = EngineFaults { fail_loads: 1_000, ..EngineFaults::default() };
                self.set_engine_faults(target % ENGINES, faults).await
            }
            FaultKind::AnswersCut => {
                let faults = EngineFaults { cut_answers: 5, ..EngineFaults::default() };
                self.set_engine_faults(target % ENGINES, faults).await
            }
            FaultKind::AnswersForeign => {
                let faults = EngineFaults { wrong_model: 5, ..EngineFaults::default() };
                self.set_engine_faults(target % ENGINES, faults).await
            }
        }
    }

    async fn revert(&self, kind: FaultKind, target: usize) -> Result<()> {
        let entry = target % ZONES.len();
        let agent = target % AGENTS;
        match kind {
            FaultKind::KillEntry | FaultKind::StopEntry => {
                let mut cluster = self.cluster.write().await;
                if cluster.has(&format!("entry-{entry}")) {
                    return Ok(());
                }
                cluster.start_entry(entry)
            }
            FaultKind::KillAgent | FaultKind::StopAgent => {
                let mut cluster = self.cluster.write().await;
                if cluster.has(&agent_name(agent)) {
                    return Ok(());
                }
                match agent.checked_sub(ENGINES) {
                    Some(service) => cluster.restart_service_agent(service),
                    None => cluster.start_engine_agent(agent),
                }
            }
            FaultKind::FreezeEntry => self.signal(&format!("entry-{entry}"), Signal::SIGCONT).await,
            FaultKind::FreezeAgent => self.signal(&agent_name(agent), Signal::SIGCONT).await,
            FaultKind::CutLink
            | FaultKind::StallLinkUp
            | FaultKind::StallLinkDown
            | FaultKind::LossyLink => self.set_link_faults(agent, ProxyFaults::default()).await,
            FaultKind::CutZone => self.set_zone_faults(entry, ProxyFaults::default()).await,
            FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::PlatformLosesAnswers => {
                self.set_platform_faults(PlatformFaults::default()).await
            }
            FaultKind::EngineRestart => Ok(()),
            FaultKind::LoadsFail | FaultKind::AnswersCut | FaultKind::AnswersForeign => {
                self.set_engine_faults(target % ENGINES, EngineFaults::default()).await
            }
        }
    }

    /// Stops a process gracefully or kills it, unless a concurrent fault has ended it already.
    async fn end_process(&self, name: &str, graceful: bool) -> Result<()> {
        let mut cluster = self.cluster.write().await;
        if !cluster.has(name) {
            return Ok(());
        }
        if !graceful {
            return cluster.kill(name).await;
        }
        ensure!(cluster.stop(name).await?, "{name} did not stop with exit status 0");
        Ok(())
    }

    /// Signals a process; does nothing if a concurrent fault has ended it.
    async fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let _ = self.cluster.read().await.signal(name, signal);
        Ok(())
    }

    async fn set_link_faults(&self, agent: usize, faults: ProxyFaults) -> Result<()> {
        let cluster = self.cluster.read().await;
        cluster.set(cluster.link_control(agent), "/standin/faults", &faults).await
    }

    /// Sets faults on the links to all engines' agents of a zone.
    async fn set_zone_faults(&self, zone: usize, faults: ProxyFaults) -> Result<()> {
        for agent in 0..ENGINES {
            if agent % ZONES.len() == zone {
                self.set_link_faults(agent, faults).await?;
            }
        }
        Ok(())
    }

    async fn set_platform_faults(&self, faults: PlatformFaults) -> Result<()> {
        let cluster = self.cluster.read().await;
        cluster.set(cluster.platform(), "/standin/faults", &faults).await
    }

    async fn set_engine_faults(&self, engine: usize, faults: EngineFaults) -> Result<()> {
        let cluster = self.cluster.read().await;
        cluster.set(cluster.engine(engine), "/standin/faults", &faults).await
    }
}

fn agent_name(agent: usize) -> String {
    match agent.checked_sub(ENGINES) {
        Some(service) => format!("agent-service-{service}"),
        None => format!("agent-engine-{agent}"),
    }
}
