//! The idempotency duty of an entry: writes idempotency records to the platform, in batches.

use crate::{options::EntrySettings, watch::note_failure};
use metrics::counter;
use plantain_core::{
    direct::sharing::StoreEra,
    idempotency::{
        IdempotencyRecord, RecordChange, RecordKey, RecordShard, RecordVerdict, record_shard,
    },
};
use plantain_net::{
    client::HttpClient,
    platform::{EraTracker, PlatformClient, PlatformError, PlatformResult, records::RECORD_KIND},
};
use slog::{Logger, warn};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::sleep,
};

/// Largest number of attempts to write one batch, since other entries may write the same shard.
const WRITE_ATTEMPTS: u32 = 16;
/// Recent records that are kept before old ones are dropped.
const OWN_LIMIT: usize = 4_096;
/// Shortest pause between two batches of one shard.
const BATCH_PAUSE: Duration = Duration::from_millis(5);
/// Time after a failed write during which the platform counts as down and changes fail at once.
const OUTAGE_BACKOFF: Duration = Duration::from_secs(1);

/// Time after a return of the platform from a copy in which no key is recorded: by its end all entries have read the
/// platform, which each does every second or two, and have written the records again that the return has lost.
const RETURN_GRACE: Duration = Duration::from_secs(8);
/// Pause before a lost record is written again where another record has its key. The other entry removes its record
/// with its next batch; an attempt that finds the key taken costs one read, so a grace costs 32 at most.
const RETAKE_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a record is written again if a return has lost it: copies are some seconds old.
const LOST_SPAN: Duration = Duration::from_secs(30);

/// Sends jobs to the idempotency duty.
pub type RecordSender = mpsc::Sender<RecordJob>;

/// A change of a record, and the channel for its result.
#[derive(Debug)]
pub struct RecordJob {
    /// The record to insert or remove.
    pub change: RecordChange,
    /// Receives the result; an error is the time after which to retry.
    pub reply: oneshot::Sender<Result<RecordVerdict, Duration>>,
}

#[derive(Default)]
struct ShardQueue {
    waiting: Vec<RecordJob>,
    is_writing: bool,
    known: Option<(u64, RecordShard)>,
}

/// A record that this entry has written.
struct OwnRecord {
    record: IdempotencyRecord,
    written: Instant,
}

struct RecordDuty {
    platform: PlatformClient,
    /// Recent records of this entry, by key.
    own: RefCell<HashMap<RecordKey, OwnRecord>>,
    /// Era of the platform's history in which they are written.
    era: Cell<StoreEra>,
    returned_at: Cell<Option<Instant>>,
    shards: RefCell<HashMap<u64, ShardQueue>>,
    failed_at: RefCell<Option<Instant>>,
    logger: Logger,
}

/// Handles changes until all senders are dropped.
pub async fn run(
    settings: Arc<EntrySettings>,
    mut jobs: mpsc::Receiver<RecordJob>,
    eras: EraTracker,
    log: Logger,
) {
    let platform = PlatformClient::new(settings.common.platform, HttpClient::new()).with_eras(eras);
    let duty = Rc::new(RecordDuty {
        platform,
        own: RefCell::default(),
        era: Cell::default(),
        returned_at: Cell::default(),
        shards: RefCell::new(HashMap::new()),
        failed_at: RefCell::new(None),
        logger: log,
    });
    spawn_local(Rc::clone(&duty).watch_returns());
    while let Some(job) = jobs.recv().await {
        duty.accept(job);
    }
}

impl RecordDuty {
    /// Enqueues a job, or refuses it if the record of its key may have been lost.
    fn accept(self: &Rc<Self>, job: RecordJob) {
        self.check_return();
        if let (RecordChange::Insert(..), Some(grace)) = (&job.change, self.grace_left()) {
            let _ = job.reply.send(Err(grace));
            return;
        }
        self.enqueue(job);
    }

    async fn watch_returns(self: Rc<Self>) {
        loop {
            self.platform.eras().wait_after(self.era.get()).await;
            self.check_return();
        }
    }

    /// Time until keys are recorded again after a return; `None` if they are now.
    fn grace_left(&self) -> Option<Duration> {
        let since = self.returned_at.get()?.elapsed();
        RETURN_GRACE.checked_sub(since).filter(|left| !left.is_zero())
    }

    /// Writes recent records again if the platform has returned from a copy, which may lack them: a retry through another
    /// entry would run.
    fn check_return(self: &Rc<Self>) {
        let latest = self.platform.eras().latest();
        let known = self.era.replace(latest);
        if known == 0 || known == latest {
            return;
        }
        self.returned_at.set(Some(Instant::now()));
        for queue in self.shards.borrow_mut().values_mut() {
            queue.known = None;
        }
        self.own.borrow_mut().retain(|_, own| own.written.elapsed() < LOST_SPAN);
        let own: Vec<(RecordKey, IdempotencyRecord)> = {
            let own = self.own.borrow();
            own.iter().map(|(key, own)| (key.clone(), own.record.clone())).collect()
        };
        warn!(self.logger, "platform returned from a copy; recent records are written again";
            "step" => "write records", "from" => known, "era" => latest, "records" => own.len());
        for (key, record) in own {
            spawn_local(Rc::clone(self).rewrite(key, record));
        }
    }

    /// Writes a record again until the platform has it. The key may be taken by the record of a retry that another entry
    /// wrote before it knew of the return. That entry refuses the retry and removes the record, so the key is only given
    /// up when the grace is over.
    async fn rewrite(self: Rc<Self>, key: RecordKey, record: IdempotencyRecord) {
        counter!("plantain_lost_writes_total", "kind" => "idempotency").increment(1);
        loop {
            let (reply, answered) = oneshot::channel();
            let change = RecordChange::Insert(key.clone(), record.clone());
            self.enqueue(RecordJob { change, reply });
            let theirs = match answered.await.unwrap_or(Err(OUTAGE_BACKOFF)) {
                Ok(RecordVerdict::Taken(theirs)) => theirs,
                Ok(_) => return,
                Err(pause) => {
                    sleep(pause).await;
                    continue;
                }
            };
            if self.grace_left().is_none() {
                warn!(self.logger, "key recorded twice: its record was lost, and a retry may have run";
                    "step" => "write records", "key" => key, "entry" => theirs.entry);
                return;
            }
            sleep(RETAKE_PAUSE).await;
            // The verdict came from this entry's copy of the shard, which does not show the removal.
            if let Some(queue) = self.shards.borrow_mut().get_mut(&record_shard(&key)) {
                queue.known = None;
            }
        }
    }

    /// Keeps track of this entry's records. A record of a request that came before the return was known may stand beside
    /// a lost one, so it is removed and its request refused.
    fn settle(
        self: &Rc<Self>,
        change: &RecordChange,
        verdict: RecordVerdict,
    ) -> Result<RecordVerdict, Duration> {
        let mut own = self.own.borrow_mut();
        match change {
            RecordChange::Insert(key, record) if verdict == RecordVerdict::Done => {
                let is_rewritten = own.contains_key(key);
                if let Some(grace) = self.grace_left().filter(|_| !is_rewritten) {
                    let change = RecordChange::Remove(key.clone(), record.operation.clone());
                    self.enqueue(RecordJob { change, reply: oneshot::channel().0 });
                    return Err(grace);
                }
                let written = Instant::now();
                own.insert(key.clone(), OwnRecord { record: record.clone(), written });
            }
            RecordChange::Insert(..) => {}
            RecordChange::Remove(key, operation) => {
                if own.get(key).is_some_and(|own| own.record.operation == *operation) {
                    own.remove(key);
                }
            }
        }
        if own.len() > OWN_LIMIT {
            own.retain(|_, own| own.written.elapsed() < LOST_SPAN);
        }
        Ok(verdict)
    }

    fn enqueue(self: &Rc<Self>, job: RecordJob) {
        let outage = self.failed_at.borrow().map(|failed_at| failed_at.elapsed());
        if let Some(since) = outage.filter(|since| *since < OUTAGE_BACKOFF) {
            // During the backoff a job fails at once; a write would only fail after one more timeout.
            let _ = job.reply.send(Err(OUTAGE_BACKOFF.saturating_sub(since)));
            return;
        }
        let shard = record_shard(job.change.key());
        let mut shards = self.shards.borrow_mut();
        let queue = shards.entry(shard).or_default();
        queue.waiting.push(job);
        if !queue.is_writing {
            queue.is_writing = true;
            spawn_local(Rc::clone(self).write_shard(shard));
        }
    }

    /// Writes the waiting changes of one shard in batches until none is left.
    async fn write_shard(self: Rc<Self>, shard: u64) {
        loop {
            let (batch, known) = {
                let mut shards = self.shards.borrow_mut();
                let queue = shards.entry(shard).or_default();
                if queue.waiting.is_empty() {
                    queue.is_writing = false;
                    return;
                }
                (std::mem::take(&mut queue.waiting), queue.known.take())
            };
            let changes: Vec<RecordChange> = batch.iter().map(|job| job.change.clone()).collect();
            let (verdicts, known) = self.write_batch(shard, &changes, known).await;
            let era = self.era.get();
            self.check_return();
            let known = known.filter(|_| self.era.get() == era);
            if let Some(queue) = self.shards.borrow_mut().get_mut(&shard) {
                queue.known = known;
            }
            for (index, job) in batch.into_iter().enumerate() {
                let verdict = match &verdicts {
                    Ok(verdicts) => self.settle(&job.change, verdicts[index].clone()),
                    Err(_) => Err(OUTAGE_BACKOFF),
                };
                let _ = job.reply.send(verdict);
            }
            if let Err(failure) = &verdicts {
                note_failure(&self.logger, "write records", failure);
                *self.failed_at.borrow_mut() = Some(Instant::now());
            }
            sleep(BATCH_PAUSE).await;
        }
    }

    /// Writes one batch by compare-and-set on the shard's version. After a conflict, or one write
    /// without an answer, the shard is read again: if it holds our record, that write took effect.
    async fn write_batch(
        &self,
        shard: u64,
        changes: &[RecordChange],
        mut known: Option<(u64, RecordShard)>,
    ) -> (PlatformResult<Vec<RecordVerdict>>, Option<(u64, RecordShard)>) {
        let name = format!("shard-{shard:02}");
        let mut last_failure = PlatformError::Missing;
        let mut was_unanswered = false;
        for _ in 0..WRITE_ATTEMPTS {
            let (version, old) = match known.take() {
                Some(known) => known,
                None => match self.read_shard(&name).await {
                    Ok(read) => read,
                    Err(failure) => return (Err(failure), None),
                },
            };
            let mut new = old.clone();
            let now = unix_ms();
            let verdicts = changes.iter().map(|change| new.apply(change, now)).collect();
            if new == old {
                return (Ok(verdicts), Some((version, old)));
            }
            match self.platform.put(RECORD_KIND, &name, version, &new).await {
                Ok(version) => return (Ok(verdicts), Some((version, new))),
                Err(failure @ PlatformError::Conflict(_)) => last_failure = failure,
                Err(failure @ PlatformError::Unanswered(_)) if !was_unanswered => {
                    was_unanswered = true;
                    last_failure = failure;
                }
                Err(failure) => return (Err(failure), None),
            }
        }
        (Err(last_failure), None)
    }

    async fn read_shard(&self, name: &str) -> PlatformResult<(u64, RecordShard)> {
        match self.platform.get::<RecordShard>(RECORD_KIND, name).await {
            Ok(object) => Ok((object.version, object.value.unwrap_or_default())),
            Err(PlatformError::Missing) => Ok((0, RecordShard::default())),
            Err(failure) => Err(failure),
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Creates a record for one request of this entry, with a random operation id.
pub fn new_record(entry: &str) -> IdempotencyRecord {
    IdempotencyRecord {
        entry: entry.to_owned(),
        operation: format!("{:016x}", rand::random::<u64>()),
        inserted_ms: unix_ms(),
    }
}

/// Sends a change and waits for its result; an error is the time after which to retry.
pub async fn change(
    sender: &RecordSender,
    change: RecordChange,
) -> Result<RecordVerdict, Duration> {
    let (reply, verdict) = oneshot::channel();
    if sender.try_send(RecordJob { change, reply }).is_err() {
        return Err(OUTAGE_BACKOFF);
    }
    verdict.await.unwrap_or(Err(OUTAGE_BACKOFF))
}
