//! Event boundaries in the body of a stream.

use bytes::{Bytes, BytesMut};

/// Delimiter at the end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line that carries an event's number.
const EVENT_ID: &[u8] = b"id:";

/// Splits a resumable stream into complete events: if it broke off inside an event and another run resumed it, the
/// caller would get a corrupt event. Other streams pass unchanged; only their events are counted.
#[derive(Debug)]
pub struct EventSplitter {
    buffers_events: bool,
    partial: BytesMut,
    tail: [u8; 2],
    /// Complete events of the current run.
    events: u64,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter before a stream's first event; `buffers_events` holds incomplete events back.
    pub fn new(buffers_events: bool) -> Self {
        Self { buffers_events, partial: BytesMut::new(), tail: *b"\n\n", events: 0, last_id: None }
    }

    /// Takes the next bytes of the body and returns those to relay now.
    pub fn push(&mut self, data: Bytes) -> Option<Bytes> {
        for &byte in &data {
            let is_end = [self.tail[1], byte] == EVENT_END && self.tail != EVENT_END;
            self.events += u64::from(is_end);
            self.tail = [self.tail[1], byte];
        }
        if !self.buffers_events {
            return Some(data);
        }
        self.partial.extend_from_slice(&data);
        let end = self.partial.windows(2).rposition(|pair| pair == EVENT_END)? + 2;
        let events = self.partial.split_to(end).freeze();
        self.last_id = last_event_id(&events).or(self.last_id);
        Some(events)
    }

    /// Number of bytes of an incomplete event that are held back.
    pub fn held_back(&self) -> usize {
        self.partial.len()
    }

    /// Whether the body so far ends with a complete event, or has not begun.
    pub fn is_at_boundary(&self) -> bool {
        self.tail == EVENT_END
    }

    /// Number of events that the current run has completed.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Number of the last complete event of a buffered stream.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Prepares for another run that resumes the stream after the last complete event.
    pub fn begin_run(&mut self) {
        self.partial.clear();
        self.tail = *b"\n\n";
        self.events = 0;
    }
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|&byte| byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(EVENT_ID));
    ids.rev().find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
