//! The platform duty of an entry: watches the configuration and the agents' slots, and polls the
//! host list.

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
        EraTracker, PlatformClient, PlatformError,
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

/// Shortest pause between two reads of the host list.
const HOST_PAUSE: Duration = Duration::from_secs(1);
/// Approximate size of one host in the list, in bytes.
const HOST_RECORD_BYTES: f64 = 90.0;
/// Most traffic that reading the host list may cause per entry, in bytes per second.
const HOST_BYTES_PER_SECOND: f64 = 6_000.0;

/// Sends configurations to the other duties.
pub type ConfigSender = watch::Sender<Arc<ConfigSnapshot>>;

/// Channels on which the duty publishes the platform's state.
pub struct PlatformSenders {
    /// The newest configuration.
    pub config: ConfigSender,
    /// Fingerprints of quarantined requests.
    pub(crate) quarantined: watch::Sender<QuarantinedCalls>,
}

/// Runs the duty's actors until the process ends.
pub async fn run(
    settings: Arc<EntrySettings>,
    senders: PlatformSenders,
    decisions: DecisionSender,
    signals: Arc<EntrySignals>,
    eras: EraTracker,
    logger: Logger,
) {
    let platform = PlatformClient::new(settings.common.platform, HttpClient::new()).with_eras(eras);
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
    spawn_local(keep_announced(Arc::clone(&settings), platform.clone(), logger.clone()));
    spawn_local(join::join_from_peers(settings, fetcher.clone(), targets, signals.clone(), logger));
    loop {
        signals.refresh_requested().await;
        let _ = fetcher.cast(FetchMessage::Newest);
    }
}

/// Keeps this entry's addresses on the platform: writes them at the start, and again if a return of the platform from a
/// copy has lost them.
async fn keep_announced(settings: Arc<EntrySettings>, platform: PlatformClient, logger: Logger) {
    loop {
        let era = platform.eras().latest();
        announce(Arc::clone(&settings), platform.clone(), logger.clone()).await;
        // An era that the first answer names is no return.
        let era = if era == 0 { platform.eras().latest() } else { era };
        platform.eras().wait_after(era).await;
        info!(logger, "platform returned from a copy"; "step" => "announce", "from" => era,
            "era" => platform.eras().latest());
    }
}

/// Writes this entry's addresses to the platform. The command-line tool looks up the admin address
/// there, and agents the address for permit requests.
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

/// Messages to the [`ConfigFetcher`].
pub(super) enum FetchMessage {
    /// Reads the newest configuration.
    Newest,
    /// Reads the parts that this root lists.
    Root(ConfigRoot),
    /// Uses a configuration received from a peer.
    FromPeer(Box<ConfigSnapshot>),
}

/// Triggers the next poll of the watch.
struct PollMessage;

/// Reads the configuration and publishes it if its revision is higher than the known one.
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
            FetchMessage::Root(root) if !root.replaces(known.root()) => return Ok(()),
            FetchMessage::Root(root) => self.store.complete(root, &known).await,
            FetchMessage::Newest => self.store.snapshot(&known).await,
            // A peer may not have read the platform since it returned from a copy.
            FetchMessage::FromPeer(snapshot) if snapshot.revision() <= known.revision() => {
                return Ok(());
            }
            FetchMessage::FromPeer(snapshot) => Ok(*snapshot),
        };
        match fetched {
            Ok(snapshot) => {
                backoff.reset();
                self.publish(snapshot, &known).await;
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
    async fn publish(&self, snapshot: ConfigSnapshot, known: &ConfigSnapshot) {
        if snapshot.root().replaces(known.root()) {
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

/// Watches the configuration root and sends each change to the [`ConfigFetcher`].
struct ConfigWatcher {
    platform: PlatformClient,
    fetcher: ActorRef<FetchMessage>,
    logger: Logger,
}

impl Actor for ConfigWatcher {
    type Msg = PollMessage;
    type State = KindWatch<ConfigRoot>;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<PollMessage>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(PollMessage)?;
        Ok(KindWatch::new(self.platform.clone(), ROOT_KIND, self.logger.clone()))
    }

    async fn handle(
        &self,
        myself: ActorRef<PollMessage>,
        _message: PollMessage,
        watch: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(root) = watch.next().await.into_iter().find_map(|item| item.value) {
            self.fetcher.cast(FetchMessage::Root(root))?;
        }
        myself.cast(PollMessage)?;
        Ok(())
    }
}

/// Messages to the [`TargetFollower`].
pub(super) enum TargetMessage {
    /// Slots that changed or were removed.
    Slots(Vec<ObjectRecord<SlotRecord>>),
    /// The complete host list.
    Hosts(Vec<HostRecord>),
    /// Targets received from a peer; those known from the platform take precedence.
    FromPeer(Vec<TargetRecord>),
}

/// Merges the slots and the host list into the list of targets, and sends it to the decisions duty.
struct TargetFollower {
    decisions: DecisionSender,
    logger: Logger,
}

#[derive(Default)]
struct TargetDirectory {
    slots: BTreeMap<String, TargetRecord>,
    leaving_hosts: HashSet<String>,
    sent: Vec<TargetRecord>,
}

impl TargetDirectory {
    fn targets(&self) -> Vec<TargetRecord> {
        let merge = |(name, record): (&String, &TargetRecord)| TargetRecord {
            leaving: record.leaving || self.leaving_hosts.contains(name),
            ..record.clone()
        };
        self.slots.iter().map(merge).collect()
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
            TargetMessage::FromPeer(targets) => {
                for target in targets {
                    self.slots.entry(target.name.to_string()).or_insert(target);
                }
            }
            TargetMessage::Hosts(hosts) => {
                let leaving = hosts.into_iter().filter(|host| host.state == HostState::Leaving);
                self.leaving_hosts = leaving.map(|host| host.name).collect();
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

/// Watches the slots, which change only when an agent starts or stops.
async fn watch_slots(platform: PlatformClient, follower: ActorRef<TargetMessage>, logger: Logger) {
    let mut watch = KindWatch::<SlotRecord>::new(platform, SLOT_KIND, logger);
    loop {
        let _ = follower.cast(TargetMessage::Slots(watch.next().await));
    }
}

/// Polls the host list. The pause grows with the list's size, which bounds the traffic of the polls.
/// A slow poll is enough: an entry learns earlier that a target drains, from its refusals and its
/// slot.
async fn poll_hosts(platform: PlatformClient, follower: ActorRef<TargetMessage>, logger: Logger) {
    let mut pause = HOST_PAUSE;
    loop {
        match platform.hosts().await {
            Ok(hosts) => {
                let paced_pause = hosts.len() as f64 * HOST_RECORD_BYTES / HOST_BYTES_PER_SECOND;
                pause = HOST_PAUSE.max(Duration::from_secs_f64(paced_pause));
                let _ = follower.cast(TargetMessage::Hosts(hosts));
            }
            Err(failure) => {
                note_failure(&logger, "poll hosts", &failure);
            }
        }
        sleep(jitter(pause)).await;
    }
}
