//! Bodies of callers' requests, read completely before they are sent on, within a bound for all of them together.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use plantain_core::memory::{BodyArrival, MemoryShares, SMALL_BODY, is_scarce};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task::coop::consume_budget,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

/// Unit in which room is counted, in bytes.
const ROOM_UNIT: usize = 1 << 10;
/// First buffer of a body whose length is not known, in bytes.
const FIRST_BUFFER: usize = 4 << 10;
/// Interval at which the arrival of a body is checked.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Why a body was not read completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// There is no room for it.
    NoRoom,
    /// It broke off, with the reason.
    Broken(String),
    /// It did not arrive in time, or too slowly while room was scarce.
    Slow,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub size: usize,
    /// Time in which it must arrive.
    pub time: Duration,
    /// Longest wait for room before it is read.
    pub wait: Duration,
}

/// Room for bodies of one class.
#[derive(Clone, Debug)]
struct BodyPool {
    units: Arc<Semaphore>,
    total: usize,
}

/// Room that a body has taken from a pool, until it is dropped.
struct BodyRoom {
    permit: OwnedSemaphorePermit,
    pool: BodyPool,
}

/// Memory of the bodies that a process holds. Small bodies have a pool of their own.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    small: BodyPool,
    large: BodyPool,
}

/// A body that is arriving or has arrived; it gives its room back when it is dropped.
#[derive(Default)]
struct BodyBuffer {
    bytes: Vec<u8>,
    room: Option<BodyRoom>,
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyPool {
    fn new(bytes: usize) -> Self {
        let total = bytes / ROOM_UNIT;
        Self { units: Arc::new(Semaphore::new(total)), total }
    }

    /// Units for a body of this size. One that is larger than the pool takes all of it.
    fn units_for(&self, size: usize) -> u32 {
        size.div_ceil(ROOM_UNIT).min(self.total) as u32
    }

    fn try_take(&self, size: usize) -> Option<BodyRoom> {
        let units = Arc::clone(&self.units);
        let permit = units.try_acquire_many_owned(self.units_for(size)).ok()?;
        Some(BodyRoom { permit, pool: self.clone() })
    }

    /// Takes room as soon as all who came before have theirs.
    async fn take(&self, size: usize) -> Option<BodyRoom> {
        let units = Arc::clone(&self.units);
        let permit = units.acquire_many_owned(self.units_for(size)).await.ok()?;
        Some(BodyRoom { permit, pool: self.clone() })
    }

    fn left(&self) -> usize {
        self.units.available_permits()
    }
}

impl BodyRoom {
    fn is_scarce(&self) -> bool {
        is_scarce(self.pool.left(), self.pool.total)
    }

    fn size(&self) -> usize {
        self.permit.num_permits() * ROOM_UNIT
    }
}

impl BodyBuffer {
    /// Adds bytes of a body; one that grows beyond its room gets more at once or not at all.
    fn push(&mut self, data: &[u8], limit: usize, memory: &BodyMemory) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(FIRST_BUFFER);
            let capacity = doubled.min(limit).max(length);
            // The old buffer is held until its content has moved.
            let old = self.room.replace(memory.try_take(capacity).ok_or(BodyError::NoRoom)?);
            self.bytes.reserve_exact(capacity - self.bytes.len());
            drop(old);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Whether the body must give its room back.
    fn is_too_slow(&self, age: Duration, pause: Duration, limit: Duration) -> bool {
        let Some(room) = self.room.as_ref().filter(|room| room.is_scarce()) else { return false };
        let (received, room) = (self.bytes.len(), room.size().min(self.bytes.capacity()));
        BodyArrival { received, room, age, pause }.is_too_slow(limit)
    }
}

impl BodyMemory {
    /// Memory with these shares.
    pub fn new(shares: &MemoryShares) -> Self {
        Self {
            small: BodyPool::new(shares.small_bodies),
            large: BodyPool::new(shares.large_bodies),
        }
    }

    /// Bytes of room that bodies have taken.
    pub fn held(&self) -> usize {
        [&self.small, &self.large].iter().map(|pool| (pool.total - pool.left()) * ROOM_UNIT).sum()
    }

    /// Reads a body. It takes room for its declared length before it is read, or else as it grows, and gives it back when
    /// the result is dropped.
    pub async fn read<B>(&self, body: &mut B, limits: &BodyLimits) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
    {
        let deadline = Instant::now() + limits.time;
        let mut buffer = BodyBuffer::default();
        let hint = body.size_hint();
        if hint.lower() > limits.size as u64 {
            return Err(BodyError::TooLarge);
        }
        if let Some(length) = hint.exact().filter(|length| *length > 0) {
            let room = timeout(limits.wait, self.take(length as usize)).await;
            buffer.room = Some(room.ok().flatten().ok_or(BodyError::NoRoom)?);
            buffer.bytes.reserve_exact(length as usize);
        }
        // Time counts by checks: while this thread stands still, no body can arrive.
        let (mut age, mut pause) = (Duration::ZERO, Duration::ZERO);
        let mut checks = interval(CHECK_PAUSE);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let frame = tokio::select! {
                biased;
                now = checks.tick() => {
                    if now >= deadline || buffer.is_too_slow(age, pause, limits.time) {
                        return Err(BodyError::Slow);
                    }
                    age += CHECK_PAUSE;
                    pause += CHECK_PAUSE;
                    continue;
                }
                frame = body.frame() => frame,
            };
            // Frames that are always there would let no timer run.
            consume_budget().await;
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        buffer.push(data, limits.size, self)?;
                        pause = Duration::ZERO;
                    }
                }
                Some(Err(error)) => return Err(BodyError::Broken(error.to_string())),
                None => return Ok(Bytes::from_owner(buffer)),
            }
        }
    }

    fn try_take(&self, size: usize) -> Option<BodyRoom> {
        let small = if size <= SMALL_BODY { self.small.try_take(size) } else { None };
        small.or_else(|| self.large.try_take(size))
    }

    async fn take(&self, size: usize) -> Option<BodyRoom> {
        match self.try_take(size) {
            Some(room) => Some(room),
            None if size <= SMALL_BODY => self.small.take(size).await,
            None => self.large.take(size).await,
        }
    }
}

/// Reads and drops the rest of a body, up to a limit of bytes and time. A caller that is still sending would otherwise
/// see a broken connection instead of its answer.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B, size: usize, time: Duration) {
    let discarded = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > size {
                return;
            }
        }
    };
    let _ = timeout(time, discarded).await;
}
