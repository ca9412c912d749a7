//! A router's notices to loaders of the streams that began, repeated until they are acknowledged.

use super::{
    SoftwareTag, StreamKey,
    messages::{StreamGroup, StreamNotice},
};
use crate::ids::Timestamp;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::IpAddr,
    time::Duration,
};

/// Minimum pause between notices to one loader; streams that begin within it are sent together. Until then only this
/// router knows them.
const GATHER_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a notice is repeated for the first time; it doubles up to [`LONGEST_PAUSE`].
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a notice is repeated.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time after which an unacknowledged stream is no longer sent: its loader has ended.
const SEND_TTL: Duration = Duration::from_secs(3);
/// Streams in one notice: a datagram of some 2 kB.
const NOTICE_LIMIT: usize = 200;
/// Streams that wait for one loader; more are not recorded there.
const QUEUE_LIMIT: usize = 4_096;

#[derive(Debug)]
struct PendingStream {
    stream: StreamKey,
    software: SoftwareTag,
    began: Timestamp,
    /// Sequence of the first notice that held it.
    first_notice: Option<u32>,
}

/// Streams that one loader has not acknowledged.
#[derive(Debug, Default)]
struct LoaderQueue {
    pending: VecDeque<PendingStream>,
    sent: Option<Timestamp>,
    resend_pause: Duration,
}

impl LoaderQueue {
    fn due(&self) -> Option<Timestamp> {
        let first = self.pending.front()?;
        let Some(sent) = self.sent else { return Some(first.began) };
        let has_new =
            self.pending.iter().take(NOTICE_LIMIT).any(|stream| stream.first_notice.is_none());
        Some(sent + if has_new { GATHER_PAUSE } else { self.resend_pause })
    }

    fn make_notice(&mut self, sequence: u32, now: Timestamp) -> StreamNotice {
        self.sent = Some(now);
        let mut groups: BTreeMap<SoftwareTag, StreamGroup> = BTreeMap::new();
        let mut has_new = false;
        for pending in self.pending.iter_mut().take(NOTICE_LIMIT) {
            has_new |= pending.first_notice.is_none();
            pending.first_notice.get_or_insert(sequence);
            let software = pending.software;
            let group = groups.entry(software).or_insert_with(|| StreamGroup::new(software));
            group.push(pending.stream);
        }
        let doubled = (self.resend_pause * 2).min(LONGEST_PAUSE);
        self.resend_pause = if has_new { RESEND_PAUSE } else { doubled };
        StreamNotice { sequence, groups: groups.into_values().collect() }
    }
}

/// Streams that loaders have not acknowledged, by the loaders' hosts.
#[derive(Debug, Default)]
pub struct StreamOutbox {
    /// Sequence of the last notice to any loader.
    sequence: u32,
    queues: HashMap<IpAddr, LoaderQueue>,
}

impl StreamOutbox {
    /// Adds a stream for the loaders on these hosts.
    pub fn push(
        &mut self,
        hosts: &[IpAddr],
        stream: StreamKey,
        software: SoftwareTag,
        now: Timestamp,
    ) {
        for host in hosts {
            let queue = self.queues.entry(*host).or_default();
            if queue.pending.len() < QUEUE_LIMIT {
                let pending = PendingStream { stream, software, began: now, first_notice: None };
                queue.pending.push_back(pending);
            }
        }
    }

    /// Notices that are due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(IpAddr, StreamNotice)> {
        self.expire(now);
        let due = self.queues.iter_mut();
        let due = due.filter(|(_, queue)| queue.due().is_some_and(|due| due <= now));
        let notices = due.map(|(host, queue)| {
            self.sequence = self.sequence.wrapping_add(1);
            (*host, queue.make_notice(self.sequence, now))
        });
        notices.collect()
    }

    /// Applies a loader's acknowledgement: each notice repeats all earlier ones that were not acknowledged.
    pub fn acknowledge(&mut self, host: IpAddr, sequence: u32) {
        if let Some(queue) = self.queues.get_mut(&host) {
            queue.pending.retain(|stream| stream.first_notice.is_none_or(|first| first > sequence));
        }
    }

    /// When the next notice is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.queues.values().filter_map(LoaderQueue::due).min()
    }

    /// Number of streams that wait for an acknowledgement, counted once for each loader.
    pub fn pending(&self) -> usize {
        self.queues.values().map(|queue| queue.pending.len()).sum()
    }

    fn expire(&mut self, now: Timestamp) {
        for queue in self.queues.values_mut() {
            queue.pending.retain(|stream| now.saturating_sub(stream.began) < SEND_TTL);
        }
        // An empty queue keeps the time of its last notice, to gather the next streams.
        self.queues.retain(|_, queue| {
            !queue.pending.is_empty()
                || queue.sent.is_some_and(|sent| now.saturating_sub(sent) < GATHER_PAUSE)
        });
    }
}
