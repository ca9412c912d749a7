//! The platform duty of an entry: follows the configuration, the slots and the host list.

use super::{
    decisions::{DecisionCommand, DecisionSender},
    status::EntrySignals,
};
use crate::{options::EntrySettings, telemetry::names};
use metrics::{counter, gauge};
use plantain_core::{
    config::{ConfigRoot, ConfigSnapshot},
    entry::targets::TargetRecord,
};
use plantain_net::{
    backoff::{RetryBackoff, jitter},
    client::HttpClient,
    config_store::ConfigStore,
    platform::{
        PlatformClient, PlatformError, PlatformResult,
        records::{
            ENTRY_KIND, EntryRecord, HostRecord, HostState, ROOT_KIND, SLOT_KIND, SlotRecord,
        },
    },
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use slog::{Logger, error, info, warn};
use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

/// First pause after a failed platform call.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed platform calls.
const FAILED_PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// Pause between looks at the host list.
const HOST_PAUSE: Duration = Duration::from_secs(1);

/// Sends configurations to the other duties.
pub type ConfigSender = watch::Sender<Arc<ConfigSnapshot>>;

/// Runs the duty's actors for as long as the process lives.
pub async fn run(
    settings: Arc<EntrySettings>,
    config: ConfigSender,
    decisions: DecisionSender,
    signals: Arc<EntrySignals>,
    logger: Logger,
) {
    let platform = PlatformClient::new(settings.common.platform, HttpClient::new());
    let fetcher = ConfigFetcher {
        store: ConfigStore::new(platform.clone()),
        config,
        decisions: decisions.clone(),
        signals: Arc::clone(&signals),
        logger: logger.clone(),
    };
    let targets = TargetFollower { platform: platform.clone(), decisions, logger: logger.clone() };
    let started = async {
        let (fetcher, _) = Actor::spawn(None, fetcher, ()).await?;
        let watcher = ConfigWatcher { platform: platform.clone(), fetcher: fetcher.clone() };
        Actor::spawn(None, watcher, ()).await?;
        Actor::spawn(None, targets, ()).await?;
        Ok::<_, ractor::SpawnErr>(fetcher)
    };
    let fetcher = match started.await {
        Ok(fetcher) => fetcher,
        Err(failure) => {
            error!(logger, "platform duty failed"; "step" => "spawn", "error" => %failure);
            return;
        }
    };
    announce(&settings, &platform, &logger).await;
    loop {
        signals.refresh_asked().await;
        let _ = fetcher.cast(FetchMessage(None));
    }
}

/// Tells operators where the admin pages are; the command-line tool asks there.
async fn announce(settings: &EntrySettings, platform: &PlatformClient, logger: &Logger) {
    let common = &settings.common;
    let record = EntryRecord {
        name: common.name.to_string(),
        admin: common.admin,
        peer: settings.peer_listen,
        region: common.region.clone(),
        zone: common.zone.clone(),
    };
    let mut backoff = RetryBackoff::new(FAILED_PAUSE, FAILED_PAUSE_LIMIT);
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
                warn!(logger, "entry not announced"; "step" => "announce", "error" => %failure);
                sleep(backoff.next_pause()).await;
            }
        }
    }
}

/// Asks for the configuration that a root names, or else for the newest.
struct FetchMessage(Option<ConfigRoot>);

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
        myself.cast(FetchMessage(None))?;
        Ok(RetryBackoff::new(FAILED_PAUSE, FAILED_PAUSE_LIMIT))
    }

    async fn handle(
        &self,
        myself: ActorRef<FetchMessage>,
        FetchMessage(root): FetchMessage,
        backoff: &mut RetryBackoff,
    ) -> Result<(), ActorProcessingErr> {
        let known = Arc::clone(&self.config.borrow());
        let fetched = match root {
            Some(root) if root.revision <= known.revision() => return Ok(()),
            Some(root) => self.store.complete(root, &known).await,
            None => self.store.snapshot(&known).await,
        };
        match fetched {
            Ok(snapshot) => {
                backoff.reset();
                self.publish(snapshot, known.revision()).await;
            }
            Err(failure) => {
                counter!(names::PLATFORM_FAILURES).increment(1);
                warn!(self.logger, "configuration not read"; "step" => "fetch config",
                    "error" => %failure);
                myself.send_after(backoff.next_pause(), || FetchMessage(None));
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
}

impl Actor for ConfigWatcher {
    type Msg = LookMessage;
    type State = (u64, RetryBackoff);
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<LookMessage>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(LookMessage)?;
        Ok((0, RetryBackoff::new(FAILED_PAUSE, FAILED_PAUSE_LIMIT)))
    }

    async fn handle(
        &self,
        myself: ActorRef<LookMessage>,
        _message: LookMessage,
        (revision, backoff): &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let watched = self.platform.watch::<ConfigRoot>(ROOT_KIND, *revision).await;
        if let Ok(list) = watched {
            backoff.reset();
            *revision = list.revision;
            if let Some(root) = list.items.into_iter().find_map(|item| item.value) {
                self.fetcher.cast(FetchMessage(Some(root)))?;
            }
        } else {
            counter!(names::PLATFORM_FAILURES).increment(1);
            sleep(backoff.next_pause()).await;
        }
        myself.cast(LookMessage)?;
        Ok(())
    }
}

/// Follows the slots and the host list, and joins them to the targets that may be offered to.
struct TargetFollower {
    platform: PlatformClient,
    decisions: DecisionSender,
    logger: Logger,
}

#[derive(Default)]
struct TargetDirectory {
    revision: u64,
    slots: BTreeMap<String, TargetRecord>,
    leaving: HashSet<String>,
    sent: Option<Vec<TargetRecord>>,
}

impl TargetDirectory {
    fn targets(&self) -> Vec<TargetRecord> {
        let join = |(name, record): (&String, &TargetRecord)| TargetRecord {
            leaving: record.leaving || self.leaving.contains(name),
            ..record.clone()
        };
        self.slots.iter().map(join).collect()
    }

    fn take_hosts(&mut self, hosts: Vec<HostRecord>) {
        let leaving = hosts.into_iter().filter(|host| host.state == HostState::Leaving);
        self.leaving = leaving.map(|host| host.name).collect();
    }
}

impl Actor for TargetFollower {
    type Msg = LookMessage;
    type State = TargetDirectory;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<LookMessage>,
        (): (),
    ) -> Result<TargetDirectory, ActorProcessingErr> {
        myself.cast(LookMessage)?;
        Ok(TargetDirectory::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<LookMessage>,
        _message: LookMessage,
        directory: &mut TargetDirectory,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(failure) = self.look(directory).await {
            counter!(names::PLATFORM_FAILURES).increment(1);
            warn!(self.logger, "targets not read"; "step" => "follow targets",
                "error" => %failure);
        }
        let targets = directory.targets();
        if directory.sent.as_ref() != Some(&targets) {
            info!(self.logger, "targets changed"; "step" => "targets", "count" => targets.len());
            directory.sent = Some(targets.clone());
            let _ = self.decisions.send(DecisionCommand::Targets(targets)).await;
        }
        myself.send_after(jitter(HOST_PAUSE), || LookMessage);
        Ok(())
    }
}

impl TargetFollower {
    async fn look(&self, directory: &mut TargetDirectory) -> PlatformResult<()> {
        let list = self.platform.changes::<SlotRecord>(SLOT_KIND, directory.revision).await?;
        directory.revision = list.revision;
        for item in list.items {
            match item.value {
                Some(slot) => directory.slots.insert(item.name, slot.target),
                None => directory.slots.remove(&item.name),
            };
        }
        directory.take_hosts(self.platform.hosts().await?);
        Ok(())
    }
}
