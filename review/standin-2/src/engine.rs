//! The memory of an engine: what it holds, what it is ordered to load, and when that is too much.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Figures of an engine, as the configuration gives them.
#[derive(Clone, Debug)]
pub struct EngineSize {
    pub weights_mb: f64,
    pub model_mb: f64,
    pub adapter_mb: f64,
    pub adapter_slots: usize,
    /// Time that an adapter takes.
    pub load_time: Duration,
}

/// An answer to an order.
pub enum OrderReply {
    Status(&'static str),
    /// The order asks for more than the engine holds; it crashes.
    Crash(String),
}

/// An order, as its body tells.
pub struct Order<'a> {
    pub operation: &'a str,
    pub adapter: Option<&'a str>,
    pub expected: Option<u64>,
}

/// State of an engine that holds one model.
#[derive(Debug)]
pub struct Engine {
    pub size: EngineSize,
    adapters: BTreeMap<String, u32>,
    coming: HashMap<String, Instant>,
    leaving: Vec<String>,
    pub accepted: u64,
}

impl Engine {
    pub fn new(size: EngineSize) -> Self {
        Self {
            size,
            adapters: BTreeMap::new(),
            coming: HashMap::new(),
            leaving: Vec::new(),
            accepted: 0,
        }
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let arrived: Vec<String> =
            self.coming.iter().filter(|(_, at)| **at <= now).map(|(n, _)| n.clone()).collect();
        for name in arrived {
            self.coming.remove(&name);
            self.adapters.entry(name).or_insert(0);
        }
        let adapters = &mut self.adapters;
        self.leaving.retain(|name| {
            let is_used = adapters.get(name).is_some_and(|runs| *runs > 0);
            if !is_used {
                adapters.remove(name);
            }
            is_used
        });
    }

    /// Adapters held and on their way, as the report lists them.
    pub fn lists(&mut self, model: &str) -> (String, String) {
        self.advance();
        let held: Vec<String> = self.adapters.keys().map(|name| format!("\"{name}@1\"")).collect();
        let coming: Vec<String> =
            self.coming.keys().map(|name| format!("\"{model}/{name}@1\"")).collect();
        (held.join(","), coming.join(","))
    }

    /// Begins a run for an adapter, if it is held.
    pub fn begin_run(&mut self, adapter: &str) -> bool {
        self.advance();
        let is_leaving = self.leaving.iter().any(|name| name == adapter);
        match self.adapters.get_mut(adapter) {
            Some(runs) if !is_leaving => {
                *runs += 1;
                true
            }
            _ => false,
        }
    }

    pub fn end_run(&mut self, adapter: &str) {
        if let Some(runs) = self.adapters.get_mut(adapter) {
            *runs = runs.saturating_sub(1);
        }
    }

    /// Number of adapters held or on their way, and the memory that they and the model take.
    pub fn load(&mut self) -> (usize, f64) {
        self.advance();
        let count = self.adapters.len() + self.coming.len();
        (count, self.size.model_mb + count as f64 * self.size.adapter_mb)
    }

    /// Carries out an order on an adapter.
    pub fn order(&mut self, order: &Order<'_>) -> OrderReply {
        self.advance();
        if order.expected.is_some_and(|expected| expected != self.accepted) {
            return OrderReply::Status("409 Conflict");
        }
        // An unload that waits for its runs is an order in progress.
        if !self.leaving.is_empty() {
            return OrderReply::Status("409 Conflict");
        }
        let Some(name) = order.adapter else { return OrderReply::Status("200 OK") };
        if order.operation == "unload" {
            self.accepted += 1;
            self.leaving.push(name.to_owned());
            self.advance();
            let is_done = self.leaving.is_empty();
            return OrderReply::Status(if is_done { "200 OK" } else { "202 Accepted" });
        }
        if self.adapters.contains_key(name) || self.coming.contains_key(name) {
            return OrderReply::Status("200 OK");
        }
        self.accepted += 1;
        self.coming.insert(name.to_owned(), Instant::now() + self.size.load_time);
        let (count, memory) = self.load();
        let EngineSize { weights_mb, adapter_slots, .. } = self.size;
        if memory > weights_mb || count > adapter_slots {
            return OrderReply::Crash(format!(
                "the order to load {name} needs {memory:.0} of {weights_mb:.0} MB and {count} of \
                 {adapter_slots} places"
            ));
        }
        OrderReply::Status("202 Accepted")
    }
}
