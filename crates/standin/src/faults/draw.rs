//! Draws faults by seed, applies them, and takes them back.

use super::{ENGINES, SharedCluster, ZONES, draw_pause, seeded};
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

/// Agents: those of the engines, then those of the services.
const AGENTS: usize = ENGINES + super::SERVICES;
/// Share of draws that bring two faults at once.
const DOUBLE_SHARE: f64 = 0.25;

/// When a fault was in force, from the start.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// Its kind.
    pub kind: String,
    /// From.
    pub from: Duration,
    /// To.
    pub to: Duration,
}

/// Kinds of faults.
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

/// Draws and applies faults.
pub struct FaultDrawer {
    cluster: SharedCluster,
    random: StdRng,
    begin: Instant,
    windows: Vec<FaultWindow>,
}

impl FaultDrawer {
    /// Draws by seed.
    pub fn new(cluster: SharedCluster, seed: u64, begin: Instant) -> Self {
        Self { cluster, random: seeded(seed, 1), begin, windows: Vec::new() }
    }

    /// Runs for a time; `only` limits the kinds by a part of their name.
    pub async fn run(mut self, time: Duration, only: Option<&str>) -> Result<Vec<FaultWindow>> {
        let kinds: Vec<(FaultKind, &str)> = FaultKind::ALL
            .into_iter()
            .filter(|(_, name)| only.is_none_or(|only| name.contains(only)))
            .collect();
        if kinds.is_empty() {
            bail!("--only: no kind of fault has `{}` in its name", only.unwrap_or(""));
        }
        let end = Instant::now() + time;
        while Instant::now() < end {
            let first = kinds[self.random.random_range(0..kinds.len())];
            let second = kinds[self.random.random_range(0..kinds.len())];
            let double = self.random.random_bool(DOUBLE_SHARE) && first.0 != second.0;
            let hold = draw_pause(&mut self.random, 800, 2_500);
            let (one, other) = (self.draw_target(), self.draw_target());
            let from = self.begin.elapsed();
            self.apply(first.0, one).await?;
            if double {
                self.apply(second.0, other).await?;
            }
            sleep(hold).await;
            if double {
                self.take_back(second.0, other).await?;
                self.close(second.1, from);
            }
            self.take_back(first.0, one).await?;
            self.close(first.1, from);
            sleep(draw_pause(&mut self.random, 1_500, 3_000)).await;
        }
        Ok(self.windows)
    }

    fn draw_target(&mut self) -> usize {
        self.random.random_range(0..1_000)
    }

    fn close(&mut self, kind: &str, from: Duration) {
        let to = self.begin.elapsed();
        self.windows.push(FaultWindow { kind: kind.to_owned(), from, to });
    }

    async fn apply(&self, kind: FaultKind, target: usize) -> Result<()> {
        let entry = format!("entry-{}", target % ZONES.len());
        let agent = agent_name(target % AGENTS);
        match kind {
            FaultKind::KillEntry => self.end(&entry, false).await,
            FaultKind::KillAgent => self.end(&agent, false).await,
            FaultKind::StopEntry => self.end(&entry, true).await,
            FaultKind::StopAgent => self.end(&agent, true).await,
            FaultKind::FreezeEntry => self.signal(&entry, Signal::SIGSTOP).await,
            FaultKind::FreezeAgent => self.signal(&agent, Signal::SIGSTOP).await,
            FaultKind::CutLink => {
                self.link(target % AGENTS, ProxyFaults { cut: true, ..ProxyFaults::default() })
                    .await
            }
            FaultKind::StallLinkUp => {
                let up = DirectionFaults { stall: true, ..DirectionFaults::default() };
                self.link(target % AGENTS, ProxyFaults { up, ..ProxyFaults::default() }).await
            }
            FaultKind::StallLinkDown => {
                let down = DirectionFaults { stall: true, ..DirectionFaults::default() };
                self.link(target % AGENTS, ProxyFaults { down, ..ProxyFaults::default() }).await
            }
            FaultKind::LossyLink => {
                let way = DirectionFaults { drop: 0.15, delay_ms: 5, ..DirectionFaults::default() };
                let faults = ProxyFaults { up: way, down: way, ..ProxyFaults::default() };
                self.link(target % AGENTS, faults).await
            }
            FaultKind::CutZone => {
                let cut = ProxyFaults { cut: true, ..ProxyFaults::default() };
                self.zone(target % ZONES.len(), cut).await
            }
            FaultKind::PlatformDown => {
                self.platform(PlatformFaults { down: true, ..PlatformFaults::default() }).await
            }
            FaultKind::PlatformSlow => {
                self.platform(PlatformFaults { delay_ms: 700, ..PlatformFaults::default() }).await
            }
            FaultKind::PlatformLosesAnswers => {
                self.platform(PlatformFaults { lose_answers: 5, ..PlatformFaults::default() }).await
            }
            FaultKind::EngineRestart => {
                let cluster = self.cluster.read().await;
                let engine = cluster.engine(target % ENGINES);
                cluster.set(engine, "/standin/restart", &json!({})).await
            }
            FaultKind::LoadsFail => {
                let faults = EngineFaults { fail_loads: 1_000, ..EngineFaults::default() };
                self.engine(target % ENGINES, faults).await
            }
            FaultKind::AnswersCut => {
                let faults = EngineFaults { cut_answers: 5, ..EngineFaults::default() };
                self.engine(target % ENGINES, faults).await
            }
            FaultKind::AnswersForeign => {
                let faults = EngineFaults { wrong_model: 5, ..EngineFaults::default() };
                self.engine(target % ENGINES, faults).await
            }
        }
    }

    async fn take_back(&self, kind: FaultKind, target: usize) -> Result<()> {
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
            | FaultKind::LossyLink => self.link(agent, ProxyFaults::default()).await,
            FaultKind::CutZone => self.zone(entry, ProxyFaults::default()).await,
            FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::PlatformLosesAnswers => {
                self.platform(PlatformFaults::default()).await
            }
            FaultKind::EngineRestart => Ok(()),
            FaultKind::LoadsFail | FaultKind::AnswersCut | FaultKind::AnswersForeign => {
                self.engine(target % ENGINES, EngineFaults::default()).await
            }
        }
    }

    /// Ends a process, unless another fault already has.
    async fn end(&self, name: &str, in_order: bool) -> Result<()> {
        let mut cluster = self.cluster.write().await;
        if !cluster.has(name) {
            return Ok(());
        }
        if !in_order {
            return cluster.kill(name).await;
        }
        ensure!(cluster.stop(name).await?, "{name} did not stop in order");
        Ok(())
    }

    // A process that another fault has already taken away gets no signal.
    async fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let _ = self.cluster.read().await.signal(name, signal);
        Ok(())
    }

    async fn link(&self, agent: usize, faults: ProxyFaults) -> Result<()> {
        let cluster = self.cluster.read().await;
        cluster.set(cluster.link_control(agent), "/standin/faults", &faults).await
    }

    async fn zone(&self, zone: usize, faults: ProxyFaults) -> Result<()> {
        for agent in 0..ENGINES {
            if agent % ZONES.len() == zone {
                self.link(agent, faults).await?;
            }
        }
        Ok(())
    }

    async fn platform(&self, faults: PlatformFaults) -> Result<()> {
        let cluster = self.cluster.read().await;
        cluster.set(cluster.platform(), "/standin/faults", &faults).await
    }

    async fn engine(&self, engine: usize, faults: EngineFaults) -> Result<()> {
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
