//! A modelled continuous batch: each step yields a token for every running sequence, and takes
//! longer with more sequences, more distinct adapters and more prompt tokens to prefill.

use crate::answer::{answer_token, prompt_tokens};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use tokio::sync::mpsc::UnboundedSender;

/// Bytes of a prompt's start that the prefix cache is keyed by.
const PREFIX_BYTES: usize = 256;

/// Cost model of a step.
#[derive(Clone, Debug)]
pub struct BatchTimes {
    /// Time of any step.
    pub step: Duration,
    /// Added for each sequence.
    pub per_sequence: Duration,
    /// Added for each distinct adapter.
    pub per_adapter: Duration,
    /// Added for each prompt token to prefill.
    pub per_prompt_token: Duration,
    /// Prompt prefixes whose prefill is kept.
    pub prefix_cache: usize,
}

/// What a sequence's reader is told.
#[derive(Clone, Debug, PartialEq)]
pub enum TokenEvent {
    /// One more token.
    Token {
        /// Its text.
        text: String,
        /// Whether it is the last.
        last: bool,
    },
    /// The engine lost the sequence.
    Lost,
}

/// One request in the batch.
#[derive(Debug)]
pub struct Sequence {
    model: String,
    prompt: String,
    tokens: u32,
    emitted: u32,
    priority: i64,
    events: UnboundedSender<TokenEvent>,
}

impl Sequence {
    /// A sequence that will emit `tokens` tokens; smaller priorities go first.
    pub fn new(
        model: String,
        prompt: String,
        tokens: u32,
        priority: i64,
        events: UnboundedSender<TokenEvent>,
    ) -> Self {
        Self { model, prompt, tokens, emitted: 0, priority, events }
    }

    fn emit(&mut self) {
        let text = answer_token(&self.model, &self.prompt, self.emitted);
        self.emitted += 1;
        let last = self.emitted == self.tokens;
        let _ = self.events.send(TokenEvent::Token { text, last });
    }
}

/// What a step did.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepEnd {
    /// Sequences in the batch.
    pub sequences: usize,
    /// Sequences that reached their end.
    pub completed: u64,
    /// Sequences whose reader had gone.
    pub cancelled: u64,
}

/// The batch and its queue.
#[derive(Debug)]
pub struct BatchModel {
    limit: usize,
    times: BatchTimes,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    prefixes: VecDeque<String>,
}

impl BatchModel {
    /// An empty batch of at most `limit` sequences.
    pub fn new(limit: usize, times: BatchTimes) -> Self {
        Self { limit, times, waiting: Vec::new(), running: Vec::new(), prefixes: VecDeque::new() }
    }

    /// Sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences waiting for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adapters in use, by waiting sequences too.
    pub fn models(&self) -> BTreeSet<String> {
        self.waiting.iter().chain(&self.running).map(|sequence| sequence.model.clone()).collect()
    }

    /// Adds a sequence.
    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
    }

    /// Fills the batch and returns the time of the next step; `None` if there is nothing to do.
    pub fn begin_step(&mut self) -> Option<Duration> {
        let mut prefill = 0;
        while self.running.len() < self.limit && !self.waiting.is_empty() {
            let next = (0..self.waiting.len()).min_by_key(|&i| self.waiting[i].priority)?;
            let sequence = self.waiting.remove(next);
            prefill += self.prefill_tokens(&sequence.prompt);
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let adapters: BTreeSet<&str> = self.running.iter().map(|s| s.model.as_str()).collect();
        let times = &self.times;
        let steady = times.step
            + times.per_sequence * self.running.len() as u32
            + times.per_adapter * adapters.len() as u32;
        Some(steady + times.per_prompt_token * prefill)
    }

    /// Ends a step: each sequence gets a token, and those that are done leave.
    pub fn end_step(&mut self) -> StepEnd {
        let mut end = StepEnd { sequences: self.running.len(), ..StepEnd::default() };
        let before = self.running.len();
        self.running.retain(|sequence| !sequence.events.is_closed());
        end.cancelled = (before - self.running.len()) as u64;
        for sequence in &mut self.running {
            sequence.emit();
        }
        let before = self.running.len();
        self.running.retain(|sequence| sequence.emitted < sequence.tokens);
        end.completed = (before - self.running.len()) as u64;
        end
    }

    /// Drops the sequences of one adapter and returns how many there were.
    pub fn lose_model(&mut self, model: &str) -> usize {
        let mut lost = 0;
        for sequences in [&mut self.waiting, &mut self.running] {
            sequences.retain(|sequence| {
                let kept = sequence.model != model;
                if !kept {
                    let _ = sequence.events.send(TokenEvent::Lost);
                    lost += 1;
                }
                kept
            });
        }
        lost
    }

    /// Drops everything, as a restart does.
    pub fn clear(&mut self) {
        for sequence in self.waiting.drain(..).chain(self.running.drain(..)) {
            let _ = sequence.events.send(TokenEvent::Lost);
        }
        self.prefixes.clear();
    }

    fn prefill_tokens(&mut self, prompt: &str) -> u32 {
        let prefix: String = prompt.chars().take(PREFIX_BYTES).collect();
        let known = self.prefixes.iter().position(|kept| *kept == prefix);
        if let Some(index) = known {
            self.prefixes.remove(index);
        }
        let saved = if known.is_some() { prompt_tokens(&prefix) } else { 0 };
        self.prefixes.push_front(prefix);
        self.prefixes.truncate(self.times.prefix_cache);
        prompt_tokens(prompt) - saved
    }
}
