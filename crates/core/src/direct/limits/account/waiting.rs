//! Calls under one limit that wait for a grant, in the order in which they came.

use crate::{
    direct::limits::{LimitTag, terms::UsageCost},
    ids::Timestamp,
};
use std::collections::VecDeque;

/// A call that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallTicket {
    /// Its limit.
    pub tag: LimitTag,
    /// When it began to wait.
    pub began: Timestamp,
    number: u64,
}

#[derive(Debug)]
struct WaitingCall {
    ticket: CallTicket,
    cost: UsageCost,
    /// First report in which its cost was asked for.
    asked_in: Option<u32>,
}

/// A line of calls.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    calls: VecDeque<WaitingCall>,
    next: u64,
}

impl WaitingCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// What all of them cost.
    pub(super) fn cost(&self) -> u64 {
        self.calls.iter().map(|call| u64::from(call.cost)).sum()
    }

    /// Adds a call at the end.
    pub(super) fn push(&mut self, tag: LimitTag, cost: UsageCost, now: Timestamp) -> CallTicket {
        let ticket = CallTicket { tag, began: now, number: self.next };
        self.next += 1;
        self.calls.push_back(WaitingCall { ticket, cost, asked_in: None });
        ticket
    }

    /// The first call, its cost, and the first report that asked for it.
    pub(super) fn first(&self) -> Option<(CallTicket, UsageCost, Option<u32>)> {
        self.calls.front().map(|call| (call.ticket, call.cost, call.asked_in))
    }

    pub(super) fn pop(&mut self) {
        self.calls.pop_front();
    }

    pub(super) fn remove(&mut self, ticket: CallTicket) {
        self.calls.retain(|call| call.ticket != ticket);
    }

    /// Whether a call waits whose cost no report has asked for.
    pub(super) fn has_unasked(&self) -> bool {
        self.calls.iter().any(|call| call.asked_in.is_none())
    }

    /// The report `sequence` asks for all of them.
    pub(super) fn note_asked(&mut self, sequence: u32) {
        for call in &mut self.calls {
            call.asked_in.get_or_insert(sequence);
        }
    }
}
