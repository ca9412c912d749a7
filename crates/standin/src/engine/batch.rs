//! Simulated continuous batch: each step generates one token for every running sequence. A step
//! takes longer with more sequences, more distinct adapters and more prompt tokens to prefill.

use crate::answer::{answer_token, prompt_tokens};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use tokio::sync::mpsc::UnboundedSender;

/// Length of the prompt prefix that is the key in the prefix cache, in characters.
const PREFIX_CHARS: usize = 256;

/// Cost model of a batch step.
#[derive(Clone, Debug)]
pub struct BatchTimes {
    /// Base time of a step.
    pub step: Duration,
    /// Time added for each running sequence.
    pub per_sequence: Duration,
    /// Time added for each distinct adapter.
    pub per_adapter: Duration,
    /// Time added for each prompt token to prefill.
    pub per_prompt_token: Duration,
    /// Capacity of the prefix cache, in prompt prefixes.
    pub prefix_cache: usize,
}

/// Event sent to the reader of a sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum TokenEvent {
    /// A generated token.
    Token {
        /// Text of the token, with a trailing space.
        text: String,
        /// Whether the sequence is complete.
        last: bool,
    },
    /// The sequence was aborted: its adapter was unloaded or the engine restarted.
    Lost,
}

/// A request that waits or runs in the batch.
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
    /// Creates a sequence of `tokens` tokens. Smaller `priority` values are scheduled first.
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

/// Counts of one finished step.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCounts {
    /// Sequences in the batch during the step, cancelled ones included.
    pub sequences: usize,
    /// Sequences that generated their last token.
    pub completed: u64,
    /// Sequences removed because their reader was dropped.
    pub cancelled: u64,
}

/// The running batch, its queue and the prefix cache.
#[derive(Debug)]
pub struct BatchModel {
    limit: usize,
    times: BatchTimes,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    prefixes: VecDeque<String>,
}

impl BatchModel {
    /// Creates an empty batch that runs at most `limit` sequences.
    pub fn new(limit: usize, times: BatchTimes) -> Self {
        Self { limit, times, waiting: Vec::new(), running: Vec::new(), prefixes: VecDeque::new() }
    }

    /// Number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of sequences that wait for a batch slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adapters of the running and waiting sequences.
    pub fn models(&self) -> BTreeSet<String> {
        self.waiting.iter().chain(&self.running).map(|sequence| sequence.model.clone()).collect()
    }

    /// Queues a sequence.
    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
    }

    /// Moves waiting sequences into the batch and returns the duration of the next step, or `None`
    /// if the batch is empty.
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

    /// Ends a step: removes cancelled sequences, emits a token for each of the others, and removes
    /// the completed ones.
    pub fn end_step(&mut self) -> StepCounts {
        let mut counts = StepCounts { sequences: self.running.len(), ..StepCounts::default() };
        let before = self.running.len();
        self.running.retain(|sequence| !sequence.events.is_closed());
        counts.cancelled = (before - self.running.len()) as u64;
        for sequence in &mut self.running {
            sequence.emit();
        }
        let before = self.running.len();
        self.running.retain(|sequence| sequence.emitted < sequence.tokens);
        counts.completed = (before - self.running.len()) as u64;
        counts
    }

    /// Aborts all sequences of an adapter and returns their number.
    pub fn abort_model(&mut self, model: &str) -> usize {
        let mut aborted = 0;
        for sequences in [&mut self.waiting, &mut self.running] {
            sequences.retain(|sequence| {
                let kept = sequence.model != model;
                if !kept {
                    let _ = sequence.events.send(TokenEvent::Lost);
                    aborted += 1;
                }
                kept
            });
        }
        aborted
    }

    /// Aborts all sequences and empties the prefix cache, as a restart does.
    pub fn clear(&mut self) {
        for sequence in self.waiting.drain(..).chain(self.running.drain(..)) {
            let _ = sequence.events.send(TokenEvent::Lost);
        }
        self.prefixes.clear();
    }

    /// Prompt tokens to prefill, without those of a cached prefix; updates the cache (LRU).
    fn prefill_tokens(&mut self, prompt: &str) -> u32 {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
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
