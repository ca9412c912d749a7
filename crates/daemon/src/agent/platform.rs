//! The platform duty of an agent: holds the slot, and watches the entries and the active preset.

use super::decisions::{AgentCommand, CommandSender};
use crate::{
    options::{AgentSettings, constants},
    telemetry::names,
    watch::{KindWatch, note_failure, platform_backoff},
};
use metrics::{counter, gauge};
use plantain_core::{
    agent::events::AgentEvent,
    config::{ConfigRoot, PresetRecord, parts::PRESETS_PART},
    direct::sharing::StoreEra,
    target::TargetRecord,
};
use plantain_net::{
    backoff::jitter,
    client::HttpClient,
    config_store::ConfigStore,
    platform::{
        EraTracker, PlatformClient, PlatformError, PlatformResult,
        records::{ENTRY_KIND, EntryRecord, ObjectRecord, ROOT_KIND, SLOT_KIND, SlotRecord},
    },
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use slog::{Logger, error, info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Longest pause before an agent reads a changed preset, so that a fleet does not read it at once.
const FOLLOW_JITTER: Duration = Duration::from_millis(800);
/// Bits of an epoch below the era of the platform's history.
const ERA_SHIFT: u32 = 16;
/// Longest pause before an agent checks its slot after a return of the platform, so that a fleet does not read it at
/// once.
const RETURN_JITTER: Duration = Duration::from_secs(1);
/// Longest wait until the slot is marked as leaving; entries also learn of it from refusals.
const MARK_TIMEOUT: Duration = Duration::from_secs(2);

/// Channels on which the duty publishes its results.
pub struct PlatformSenders {
    /// Epoch of the slot; 0 until the slot is taken.
    pub epoch: watch::Sender<u64>,
    /// Latest known era of the platform's history.
    pub eras: EraTracker,
    /// Entries that may grant load permits.
    pub entries: watch::Sender<Vec<EntryRecord>>,
}

/// Runs the duty until the process ends.
pub async fn run(
    settings: Arc<AgentSettings>,
    commands: CommandSender,
    senders: PlatformSenders,
    mut stopping: watch::Receiver<bool>,
    logger: Logger,
) {
    let platform =
        PlatformClient::new(settings.common.platform, HttpClient::new()).with_eras(senders.eras);
    let slot = SlotHolder {
        settings: Arc::clone(&settings),
        platform: platform.clone(),
        holder: format!("{:016x}", rand::random::<u64>()),
        logger: logger.clone(),
    };
    senders.epoch.send_replace(slot.take().await);
    let presets = PresetFollower {
        store: ConfigStore::new(platform.clone()),
        platform: platform.clone(),
        commands: commands.clone(),
        logger: logger.clone(),
    };
    let entries = EntryFollower { platform, entries: senders.entries, logger: logger.clone() };
    let epoch = Arc::new(senders.epoch);
    let lease = LeaseChecker { slot: slot.clone(), epoch: Arc::clone(&epoch), commands };
    let spawned = async {
        Actor::spawn(None, presets, ()).await?;
        Actor::spawn(None, entries, ()).await?;
        Actor::spawn(None, lease, ()).await
    };
    if let Err(failure) = spawned.await {
        error!(logger, "platform duty failed"; "step" => "spawn", "error" => %failure);
        return;
    }
    let _ = stopping.wait_for(|stop| *stop).await;
    let slot_epoch = *epoch.borrow();
    if timeout(MARK_TIMEOUT, slot.mark_leaving(slot_epoch)).await.is_err() {
        warn!(logger, "slot not marked as leaving"; "step" => "leave slot");
    }
    std::future::pending::<()>().await;
}

/// Takes the target's slot, and marks it as leaving when the agent stops.
#[derive(Clone)]
struct SlotHolder {
    settings: Arc<AgentSettings>,
    platform: PlatformClient,
    holder: String,
    logger: Logger,
}

impl SlotHolder {
    /// Takes the slot by one conditional update and returns the epoch it was taken with. The epoch
    /// is the fencing number of this process's orders.
    async fn take(&self) -> u64 {
        let mut backoff = platform_backoff();
        loop {
            match self.try_take().await {
                Ok(epoch) => {
                    info!(self.logger, "slot taken"; "step" => "take slot", "epoch" => epoch);
                    return epoch;
                }
                Err(failure) => {
                    note_failure(&self.logger, "take slot", &failure);
                    sleep(backoff.next_pause()).await;
                }
            }
        }
    }

    async fn try_take(&self) -> PlatformResult<u64> {
        let (version, known) = self.read().await?;
        // This process took the slot by an earlier write whose answer was lost.
        if let Some(slot) = known.as_ref().filter(|slot| slot.holder == self.holder) {
            return Ok(slot.target.epoch);
        }
        let epoch = self.next_epoch(known.as_ref().map_or(0, |slot| slot.target.epoch));
        let record = self.record(epoch, false);
        self.platform.put(SLOT_KIND, &self.settings.common.name, version, &record).await?;
        self.wait_out_predecessor(known.as_ref()).await;
        Ok(epoch)
    }

    /// Epoch for a slot that was last taken with `known`. It is above all epochs of earlier eras of the platform's history,
    /// whose slots a return may have lost.
    fn next_epoch(&self, known: u64) -> u64 {
        (known + 1).max(self.platform.eras().latest() << ERA_SHIFT)
    }

    /// Takes the slot again, if a return of the platform from a copy has lost it; returns the new epoch. `epoch` is the
    /// one with which this process has held it.
    async fn retake(&self, epoch: u64) -> PlatformResult<Option<u64>> {
        let (version, known) = self.read().await?;
        let known_epoch = known.as_ref().map_or(0, |slot| slot.target.epoch);
        let is_held = known.is_some_and(|slot| slot.holder == self.holder);
        if is_held || known_epoch > epoch {
            return Ok(None);
        }
        let epoch = self.next_epoch(known_epoch.max(epoch));
        let record = self.record(epoch, false);
        self.platform.put(SLOT_KIND, &self.settings.common.name, version, &record).await?;
        Ok(Some(epoch))
    }

    /// Waits for a lease's time if an agent on another host held the slot. An engine that ignores fencing
    /// numbers still executes that agent's orders, until the agent finds the slot taken, at the latest
    /// after a lease's time. On this host no predecessor can run, because this process has bound the
    /// slot's port.
    async fn wait_out_predecessor(&self, known: Option<&SlotRecord>) {
        let is_on_other_host = known
            .is_some_and(|slot| slot.target.peer != self.settings.announce && !slot.target.leaving);
        if is_on_other_host && !self.settings.engine_checks_fencing {
            info!(self.logger, "waiting for the predecessor's lease"; "step" => "take slot");
            sleep(constants::LEASE).await;
        }
    }

    async fn read(&self) -> PlatformResult<(u64, Option<SlotRecord>)> {
        match self.platform.get(SLOT_KIND, &self.settings.common.name).await {
            Ok(object) => Ok((object.version, object.value)),
            Err(PlatformError::Missing) => Ok((0, None)),
            Err(error) => Err(error),
        }
    }

    fn record(&self, epoch: u64, leaving: bool) -> SlotRecord {
        let common = &self.settings.common;
        SlotRecord {
            holder: self.holder.clone(),
            admin: common.admin,
            target: TargetRecord {
                name: common.name.clone(),
                kind: self.settings.kind.clone(),
                peer: self.settings.announce,
                epoch,
                region: common.region.clone(),
                zone: common.zone.clone(),
                leaving,
            },
        }
    }

    async fn mark_leaving(&self, epoch: u64) {
        while let Ok((version, Some(slot))) = self.read().await {
            if slot.holder != self.holder || slot.target.leaving {
                return;
            }
            let record = self.record(epoch, true);
            let name = &self.settings.common.name;
            if self.platform.put(SLOT_KIND, name, version, &record).await.is_ok() {
                return;
            }
        }
    }
}

/// Starts the next poll.
struct PollMessage;

/// Checks periodically whether another process has taken the slot.
struct LeaseChecker {
    slot: SlotHolder,
    epoch: Arc<watch::Sender<u64>>,
    commands: CommandSender,
}

impl Actor for LeaseChecker {
    type Msg = PollMessage;
    /// Era in which the slot was last found held.
    type State = StoreEra;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<PollMessage>,
        (): (),
    ) -> Result<StoreEra, ActorProcessingErr> {
        myself.cast(PollMessage)?;
        Ok(self.slot.platform.eras().latest())
    }

    async fn handle(
        &self,
        myself: ActorRef<PollMessage>,
        _message: PollMessage,
        era: &mut StoreEra,
    ) -> Result<(), ActorProcessingErr> {
        let eras = self.slot.platform.eras().clone();
        let epoch = *self.epoch.borrow();
        // In a platform outage the lease stays: no successor can take the slot then.
        let read = self.slot.read().await;
        if eras.latest() > *era && read.is_ok() {
            match self.slot.retake(epoch).await {
                Ok(retaken) => {
                    *era = eras.latest();
                    if let Some(epoch) = retaken {
                        counter!("plantain_lost_writes_total", "kind" => "slot").increment(1);
                        warn!(self.slot.logger, "slot lost in a return of the platform; taken again";
                            "step" => "check slot", "era" => *era, "epoch" => epoch);
                        self.epoch.send_replace(epoch);
                    }
                }
                Err(failure) => note_failure(&self.slot.logger, "take slot again", &failure),
            }
        }
        if let Ok((_, Some(slot))) = read
            && slot.target.epoch > *self.epoch.borrow()
        {
            warn!(self.slot.logger, "slot lost"; "step" => "check slot",
                "epoch" => slot.target.epoch);
            let lost = AgentCommand::Event(AgentEvent::LeaseHeld(false));
            let _ = self.commands.send(lost).await;
            return Ok(());
        }
        let known = *era;
        tokio::spawn(async move {
            let returned = async {
                eras.wait_after(known).await;
                sleep(jitter(RETURN_JITTER)).await;
            };
            let _ = timeout(jitter(constants::LEASE / 3), returned).await;
            let _ = myself.cast(PollMessage);
        });
        Ok(())
    }
}

/// Watches the entries that register with the platform. In a platform outage, the last list stays.
struct EntryFollower {
    platform: PlatformClient,
    entries: watch::Sender<Vec<EntryRecord>>,
    logger: Logger,
}

impl Actor for EntryFollower {
    type Msg = PollMessage;
    type State = KindWatch<EntryRecord>;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<PollMessage>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(PollMessage)?;
        Ok(KindWatch::new(self.platform.clone(), ENTRY_KIND, self.logger.clone()))
    }

    async fn handle(
        &self,
        myself: ActorRef<PollMessage>,
        _message: PollMessage,
        watch: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let changed = watch.next().await;
        self.entries.send_modify(|entries| merge_entries(entries, changed));
        myself.cast(PollMessage)?;
        Ok(())
    }
}

fn merge_entries(entries: &mut Vec<EntryRecord>, changed: Vec<ObjectRecord<EntryRecord>>) {
    for item in changed {
        entries.retain(|entry| entry.name != item.name);
        entries.extend(item.value);
    }
    entries.sort_by(|a, b| a.name.cmp(&b.name));
}

/// Watches the configuration's revision and the active preset.
struct PresetFollower {
    platform: PlatformClient,
    store: ConfigStore,
    commands: CommandSender,
    logger: Logger,
}

impl Actor for PresetFollower {
    type Msg = PollMessage;
    type State = PresetState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<PollMessage>,
        (): (),
    ) -> Result<PresetState, ActorProcessingErr> {
        myself.cast(PollMessage)?;
        Ok(PresetState {
            watch: KindWatch::new(self.platform.clone(), ROOT_KIND, self.logger.clone()),
            root: ConfigRoot::default(),
            preset: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<PollMessage>,
        _message: PollMessage,
        state: &mut PresetState,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(root) = state.watch.next().await.into_iter().find_map(|item| item.value)
            && root.replaces(&state.root)
        {
            self.apply_root(root, state).await;
        }
        myself.cast(PollMessage)?;
        Ok(())
    }
}

/// Configuration state of an agent.
struct PresetState {
    watch: KindWatch<ConfigRoot>,
    root: ConfigRoot,
    preset: Option<PresetRecord>,
}

impl PresetFollower {
    /// Applies the preset that a new configuration root names.
    async fn apply_root(&self, root: ConfigRoot, state: &mut PresetState) {
        let is_same = root.preset == state.root.preset
            && root.parts.get(PRESETS_PART) == state.root.parts.get(PRESETS_PART);
        let preset = match state.preset.take().filter(|_| is_same) {
            Some(preset) => preset,
            None => self.read_preset(&root).await,
        };
        gauge!(names::CONFIG_REVISION).set(root.revision as f64);
        info!(self.logger, "preset in force"; "step" => "preset", "revision" => root.revision,
            "preset" => &*preset.name);
        let event =
            AgentEvent::Configured { revision: root.revision, queue_limit: preset.queue_limit };
        state.preset = Some(preset);
        state.root = root;
        let _ = self.commands.send(AgentCommand::Event(event)).await;
    }

    /// Reads the active preset; if its configuration part is already deleted, the newest one.
    async fn read_preset(&self, root: &ConfigRoot) -> PresetRecord {
        let mut backoff = platform_backoff();
        let mut current_root = root.clone();
        sleep(jitter(FOLLOW_JITTER)).await;
        loop {
            match self.store.preset(&current_root).await {
                Ok(preset) => return preset,
                Err(failure) => note_failure(&self.logger, "read preset", &failure),
            }
            sleep(backoff.next_pause()).await;
            if let Ok(Some(newest)) = self.store.root().await {
                current_root = newest.value.unwrap_or(current_root);
            }
        }
    }
}
