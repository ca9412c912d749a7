//! The idempotency duty of an entry: writes idempotency records to the platform, in batches.

use crate::{options::EntrySettings, watch::note_failure};
use plantain_core::idempotency::{
    IdempotencyRecord, RecordChange, RecordShard, RecordVerdict, record_shard,
};
use plantain_net::{
    client::HttpClient,
    platform::{PlatformClient, PlatformError, PlatformResult, records::RECORD_KIND},
};
use slog::Logger;
use std::{
    cell::RefCell,
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
/// Shortest pause between two batches of one shard.
const BATCH_PAUSE: Duration = Duration::from_millis(5);
/// Time after a failed write during which the platform counts as down and changes fail at once.
const OUTAGE_BACKOFF: Duration = Duration::from_secs(1);

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

struct RecordDuty {
    platform: PlatformClient,
    shards: RefCell<HashMap<u64, ShardQueue>>,
    failed_at: RefCell<Option<Instant>>,
    logger: Logger,
}

/// Handles changes until all senders are dropped.
pub async fn run(settings: Arc<EntrySettings>, mut jobs: mpsc::Receiver<RecordJob>, log: Logger) {
    let duty = Rc::new(RecordDuty {
        platform: PlatformClient::new(settings.common.platform, HttpClient::new()),
        shards: RefCell::new(HashMap::new()),
        failed_at: RefCell::new(None),
        logger: log,
    });
    while let Some(job) = jobs.recv().await {
        duty.enqueue(job);
    }
}

impl RecordDuty {
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
            if let Some(queue) = self.shards.borrow_mut().get_mut(&shard) {
                queue.known = known;
            }
            for (index, job) in batch.into_iter().enumerate() {
                let verdict = match &verdicts {
                    Ok(verdicts) => Ok(verdicts[index].clone()),
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
