//! The platform duty of an entry: follows the configuration, the slots and the host list.

use super::{
    crashes::{self, QuarantinedCalls},
    decisions::{DecisionCommand, DecisionSender},
    join,
    status::EntrySignals,
};
use crate::{
    options::EntrySettings,
    telemetry::names,
    watch::{KindWatch, note_failure, platform_backoff},
};
use metrics::gauge;
use plantain_core::{
    config::{ConfigRoot, ConfigSnapshot},
    target::TargetRecord,
};
use plantain_net::{
    backoff::{RetryBackoff, jitter},
    client::HttpClient,
    config_store::ConfigStore,
    platform::{
        PlatformClient, PlatformError,
        records::{
            ENTRY_KIND, EntryRecord, HostRecord, HostState, ObjectRecord, ROOT_KIND, SLOT_KIND,
            SlotRecord,
        },
    },
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use slog::{Logger, error, info};
use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, task::spawn_local, time::sleep};

/// Least pause between looks at the host list.
const HOST_PAUSE: Duration = Duration::from_secs(1);
/// Size of one host in the list, in bytes.
const HOST_RECORD_BYTES: f64 = 90.0;
/// Traffic that the host list may cost an entry, in bytes a second.
const HOST_BYTES_PER_SECOND: f64 = 6_000.0;

/// Sends configurations to the other duties.
pub type ConfigSender = watch::Sender<Arc<ConfigSnapshot>>;

/// Where the duty passes on what the platform tells.
pub struct PlatformSenders {
    /// Configurations.
    pub config: ConfigSender,
    /// Requests that must not be offered.
    pub(crate) quarantined: watch::Sender<QuarantinedCalls>,
}

/// Runs the duty's actors for as long as the process lives.
pub async fn run(
    settings: Arc<EntrySettings>,
    senders: PlatformSenders,
    decisions: DecisionSender,
    signals: Arc<EntrySignals>,
    logger: Logger,
) {
    let platform = PlatformClient::new(settings.common.platform, HttpClient::new());
    let fetcher = ConfigFetcher {
        store: ConfigStore::new(platform.clone()),
        config: senders.config,
        decisions: decisions.clone(),
        signals: Arc::clone(&signals),
        logger: logger.clone(),
    };
    let targets = TargetFollower { decisions, logger: logger.clone() };
    let started = async {
        let (fetcher, _) = Actor::spawn(None, fetcher, ()).await?;
        let watcher = ConfigWatcher {
            platform: platform.clone(),
            fetcher: fetcher.clone(),
            logger: logger.clone(),
        };
        Actor::spawn(None, watcher, ()).await?;
        let (targets, _) = Actor::spawn(None, targets, ()).await?;
        spawn_local(watch_slots(platform.clone(), targets.clone(), logger.clone()));
        spawn_local(poll_hosts(platform.clone(), targets.clone(), logger.clone()));
        Ok::<_, ractor::SpawnErr>((fetcher, targets))
    };
    let (fetcher, targets) = match started.await {
        Ok(started) => started,
        Err(failure) => {
            error!(logger, "platform duty failed"; "step" => "spawn", "error" => %failure);
            return;
        }
    };
    spawn_local(crashes::run(platform.clone(), senders.quarantined, logger.clone()));
    spawn_local(announce(Arc::clone(&settings), platform.clone(), logger.clone()));
    spawn_local(join::join_from_peers(settings, fetcher.clone(), targets, signals.clone(), logger));
    loop {
        signals.refresh_asked().await;
        let _ = fetcher.cast(FetchMessage::Newest);
    }
}

/// Tells operators where the admin pages are; the command-line tool asks there.
async fn announce(settings: Arc<EntrySettings>, platform: PlatformClient, logger: Logger) {
    let common = &settings.common;
    let record = EntryRecord {
        name: common.name.to_string(),
        admin: common.admin,
        peer: settings.peer_listen,
        region: common.region.clone(),
        zone: common.zone.clone(),
    };
    let mut backoff = platform_backoff();
    loop {
        let known = match platform.get::<EntryRecord>(ENTRY_KIND, &common.name).await {
            Ok(object) if object.value.as_ref() == Some(&record) => return,
            Ok(object) => Ok(object.version),
            Err(PlatformError::Missing) => Ok(0),
            Err(failure) => Err(failure),
        };
        let written = match known {
            Ok(version) => platform.put(ENTRY_KIND, &common.name, version, &record).await,
            Err(failure) => Err(failure),
        };
        match written {
            Ok(_) => return,
            Err(failure) => {
                note_failure(&logger, "announce", &failure);
                sleep(backoff.next_pause()).await;
            }
        }
    }
}

/// News for the [`ConfigFetcher`].
pub(super) enum FetchMessage {
    /// Read the newest configuration.
    Newest,
    /// Read the configuration that a root names.
    Named(ConfigRoot),
    /// Take a configuration that a peer has told.
    Told(Box<ConfigSnapshot>),
}

/// Asks for the next look.
struct LookMessage;

/// Reads the configuration and passes it on; only ever to a higher revision.
struct ConfigFetcher {
    store: ConfigStore,
    config: ConfigSender,
    decisions: DecisionSender,
    signals: Arc<EntrySignals>,
    logger: Logger,
}

impl Actor for ConfigFetcher {
    type Msg = FetchMessage;
    type State = RetryBackoff;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<FetchMessage>,
        (): (),
    ) -> Result<RetryBackoff, ActorProcessingErr> {
        myself.cast(FetchMessage::Newest)?;
        Ok(platform_backoff())
    }

    async fn handle(
        &self,
        myself: ActorRef<FetchMessage>,
        message: FetchMessage,
        backoff: &mut RetryBackoff,
    ) -> Result<(), ActorProcessingErr> {
        let known = Arc::clone(&self.config.borrow());
        let fetched = match message {
            FetchMessage::Named(root) if root.revision <= known.revision() => return Ok(()),
            FetchMessage::Named(root) => self.store.complete(root, &known).await,
            FetchMessage::Newest => self.store.snapshot(&known).await,
            FetchMessage::Told(snapshot) => Ok(*snapshot),
        };
        match fetched {
            Ok(snapshot) => {
                backoff.reset();
                self.publish(snapshot, known.revision()).await;
            }
            Err(failure) => {
                note_failure(&self.logger, "fetch config", &failure);
                myself.send_after(backoff.next_pause(), || FetchMessage::Newest);
            }
        }
        Ok(())
    }
}

impl ConfigFetcher {
    async fn publish(&self, snapshot: ConfigSnapshot, known: u64) {
        if snapshot.revision() > known {
            info!(self.logger, "configuration in force"; "step" => "config",
                "revision" => snapshot.revision(), "preset" => &*snapshot.preset().name,
                "author" => &snapshot.root().author);
            gauge!(names::CONFIG_REVISION).set(snapshot.revision() as f64);
            let preset = snapshot.preset().clone();
            let _ = self.decisions.send(DecisionCommand::Preset(preset)).await;
            self.config.send_replace(Arc::new(snapshot));
        }
        self.signals.set_loaded();
    }
}

/// Watches the root and has it fetched when it changes.
struct ConfigWatcher {
    platform: PlatformClient,
    fetcher: ActorRef<FetchMessage>,
    logger: Logger,
}

impl Actor for ConfigWatcher {
    type Msg = LookMessage;
    type State = KindWatch<ConfigRoot>;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<LookMessage>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(LookMessage)?;
        Ok(KindWatch::new(self.platform.clone(), ROOT_KIND, self.logger.clone()))
    }

    async fn handle(
        &self,
        myself: ActorRef<LookMessage>,
        _message: LookMessage,
        watch: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(root) = watch.next().await.into_iter().find_map(|item| item.value) {
            self.fetcher.cast(FetchMessage::Named(root))?;
        }
        myself.cast(LookMessage)?;
        Ok(())
    }
}

/// News for the [`TargetFollower`].
pub(super) enum TargetMessage {
    /// Slots that changed.
    Slots(Vec<ObjectRecord<SlotRecord>>),
    /// The host list.
    Hosts(Vec<HostRecord>),
    /// Targets that a peer has told; what the platform says goes before it.
    Told(Vec<TargetRecord>),
}

/// Joins the slots and the host list to the targets that may be offered to.
struct TargetFollower {
    decisions: DecisionSender,
    logger: Logger,
}

#[derive(Default)]
struct TargetDirectory {
    slots: BTreeMap<String, TargetRecord>,
    leaving: HashSet<String>,
    sent: Vec<TargetRecord>,
}

impl TargetDirectory {
    fn targets(&self) -> Vec<TargetRecord> {
        let join = |(name, record): (&String, &TargetRecord)| TargetRecord {
            leaving: record.leaving || self.leaving.contains(name),
            ..record.clone()
        };
        self.slots.iter().map(join).collect()
    }

    fn take(&mut self, message: TargetMessage) {
        match message {
            TargetMessage::Slots(items) => {
                for item in items {
                    match item.value {
                        Some(slot) => self.slots.insert(item.name, slot.target),
                        None => self.slots.remove(&item.name),
                    };
                }
            }
            TargetMessage::Told(targets) => {
                for target in targets {
                    self.slots.entry(target.name.to_string()).or_insert(target);
                }
            }
            TargetMessage::Hosts(hosts) => {
                let leaving = hosts.into_iter().filter(|host| host.state == HostState::Leaving);
                self.leaving = leaving.map(|host| host.name).collect();
            }
        }
    }
}

impl Actor for TargetFollower {
    type Msg = TargetMessage;
    type State = TargetDirectory;
    type Arguments = ();

    async fn pre_start(
        &self,
        _myself: ActorRef<TargetMessage>,
        (): (),
    ) -> Result<TargetDirectory, ActorProcessingErr> {
        Ok(TargetDirectory::default())
    }

    async fn handle(
        &self,
        _myself: ActorRef<TargetMessage>,
        message: TargetMessage,
        directory: &mut TargetDirectory,
    ) -> Result<(), ActorProcessingErr> {
        directory.take(message);
        let targets = directory.targets();
        if directory.sent != targets {
            info!(self.logger, "targets changed"; "step" => "targets", "count" => targets.len());
            directory.sent.clone_from(&targets);
            let _ = self.decisions.send(DecisionCommand::Targets(targets)).await;
        }
        Ok(())
    }
}

/// Watches the slots: they change only when an agent starts or stops.
async fn watch_slots(platform: PlatformClient, follower: ActorRef<TargetMessage>, logger: Logger) {
    let mut watch = KindWatch::<SlotRecord>::new(platform, SLOT_KIND, logger);
    loop {
        let _ = follower.cast(TargetMessage::Slots(watch.next().await));
    }
}

/// Reads the host list, at a pace that its size sets: the list is only the third to know of a
/// leaving target, after its refusals and its slot, and must not use up the control traffic.
async fn poll_hosts(platform: PlatformClient, follower: ActorRef<TargetMessage>, logger: Logger) {
    let mut pause = HOST_PAUSE;
    loop {
        match platform.hosts().await {
            Ok(hosts) => {
                let paced = hosts.len() as f64 * HOST_RECORD_BYTES / HOST_BYTES_PER_SECOND;
                pause = HOST_PAUSE.max(Duration::from_secs_f64(paced));
                let _ = follower.cast(TargetMessage::Hosts(hosts));
            }
            Err(failure) => {
                note_failure(&logger, "poll hosts", &failure);
            }
        }
        sleep(jitter(pause)).await;
    }
}
