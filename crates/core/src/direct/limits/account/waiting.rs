//! Calls under one limit that wait for a grant, in order of arrival.

use crate::{
    direct::limits::{LimitTag, terms::UsageCost},
    ids::Timestamp,
};
use std::collections::VecDeque;

/// Identifies a waiting call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallTicket {
    /// The limit that it waits for.
    pub tag: LimitTag,
    /// When it began to wait.
    pub began: Timestamp,
    number: u64,
}

#[derive(Debug)]
struct WaitingCall {
    ticket: CallTicket,
    cost: UsageCost,
    /// Sequence number of the first report that requested its cost; `None` before that.
    requested_in: Option<u32>,
}

/// FIFO queue of the waiting calls.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    calls: VecDeque<WaitingCall>,
    next: u64,
}

impl WaitingCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Total cost in units.
    pub(super) fn cost(&self) -> u64 {
        self.calls.iter().map(|call| u64::from(call.cost)).sum()
    }

    /// Adds a call at the end.
    pub(super) fn push(&mut self, tag: LimitTag, cost: UsageCost, now: Timestamp) -> CallTicket {
        let ticket = CallTicket { tag, began: now, number: self.next };
        self.next += 1;
        self.calls.push_back(WaitingCall { ticket, cost, requested_in: None });
        ticket
    }

    /// The first call, its cost, and the first report that requested it.
    pub(super) fn first(&self) -> Option<(CallTicket, UsageCost, Option<u32>)> {
        self.calls.front().map(|call| (call.ticket, call.cost, call.requested_in))
    }

    pub(super) fn pop(&mut self) {
        self.calls.pop_front();
    }

    pub(super) fn remove(&mut self, ticket: CallTicket) {
        self.calls.retain(|call| call.ticket != ticket);
    }

    /// Whether the cost of any waiting call was not requested yet.
    pub(super) fn has_unrequested(&self) -> bool {
        self.calls.iter().any(|call| call.requested_in.is_none())
    }

    /// Notes that report `sequence` requests the cost of all waiting calls.
    pub(super) fn note_requested(&mut self, sequence: u32) {
        for call in &mut self.calls {
            call.requested_in.get_or_insert(sequence);
        }
    }
}
