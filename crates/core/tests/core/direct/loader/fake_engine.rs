//! An engine whose answers get lost and that carries orders out late.

use super::SLOTS;
use crate::direct::support::{BASE, holding};
use plantain_core::{
    direct::{
        call::AdapterId,
        loader::{LoaderMachine, LoaderStep},
        orders::{EngineOrder, EngineReport, OrderAnswer, OrderVerb},
    },
    ids::Timestamp,
};
use std::collections::BTreeMap;

pub const OTHER_BASE: &str = "other-base";

/// A base model that an engine always holds, and the size in MB of its adapters.
#[derive(Clone, Copy)]
pub struct FakeBase {
    pub name: &'static str,
    pub adapter_mb: f64,
}

pub struct FakeEngine {
    order_count: u64,
    held: BTreeMap<AdapterId, u32>,
    loading: Vec<(AdapterId, u32)>,
    late: Vec<EngineOrder>,
    /// Whether it was ever ordered to hold more than its slots or its memory.
    pub overfilled: bool,
    /// Start of its incarnation; `None` if it does not report it.
    started: Option<u64>,
    bases: Vec<FakeBase>,
    /// Memory for adapters in MB.
    memory_mb: f64,
}

impl FakeEngine {
    /// An engine whose adapters take no memory.
    pub fn new(started: Option<u64>) -> Self {
        let base = FakeBase { name: BASE, adapter_mb: 0.0 };
        Self {
            order_count: 0,
            held: BTreeMap::new(),
            loading: Vec::new(),
            late: Vec::new(),
            overfilled: false,
            started,
            bases: vec![base],
            memory_mb: 0.0,
        }
    }

    pub fn with_memory(self, bases: &[FakeBase], memory_mb: f64) -> Self {
        Self { bases: bases.to_vec(), memory_mb, ..self }
    }

    /// Crashes and restarts under the same id; orders in transit still arrive.
    fn restart(&mut self) {
        self.order_count = 0;
        self.held.clear();
        self.loading.clear();
        self.started = self.started.map(|started| started + 1);
    }

    fn size(&self, id: &AdapterId) -> f64 {
        let own = self.bases.iter().find(|base| *base.name == *id.base);
        own.map_or(0.0, |base| base.adapter_mb)
    }

    fn is_overfilled(&self) -> bool {
        let new = self.loading.iter().map(|(id, _)| id).filter(|id| !self.held.contains_key(id));
        let all: Vec<&AdapterId> = self.held.keys().chain(new).collect();
        let used: f64 = all.iter().map(|id| self.size(id)).sum();
        used > self.memory_mb || all.len() > usize::from(SLOTS)
    }

    fn carry_out(&mut self, order: &EngineOrder) -> OrderAnswer {
        if order.order_count != self.order_count {
            return OrderAnswer::Conflict;
        }
        self.order_count += 1;
        match &order.verb {
            OrderVerb::LoadBase(_) => {}
            OrderVerb::LoadAdapter(id, version) => {
                self.loading.push((id.clone(), *version));
                self.overfilled |= self.is_overfilled();
            }
            OrderVerb::UnloadAdapter(id) => {
                self.held.remove(id);
                return OrderAnswer::Done;
            }
        }
        OrderAnswer::Accepted
    }

    fn report(&self) -> EngineReport {
        let holdings = self.bases.iter().map(|base| {
            let mut holding = holding(&[]);
            holding.base = base.name.into();
            let own = self.held.iter().filter(|(id, _)| *id.base == *base.name);
            holding.adapters = own.map(|(id, version)| (id.name.clone(), *version)).collect();
            holding
        });
        EngineReport {
            holdings: holdings.collect(),
            loading: self.loading.clone(),
            order_count: self.order_count,
            started: self.started,
            ..EngineReport::default()
        }
    }

    /// Takes an order whose fate `kind` decides: carried out late, carried out without an answer, or answered.
    fn take_order(&mut self, order: &EngineOrder, kind: u8) -> OrderAnswer {
        match kind % 4 {
            0 => {
                self.late.push(order.clone());
                OrderAnswer::Silent
            }
            1 => {
                self.carry_out(order);
                OrderAnswer::Silent
            }
            _ => self.carry_out(order),
        }
    }

    /// Lets an event that `kind` decides happen at the engine, and then the loader's next step.
    pub fn play(
        &mut self,
        machine: &mut LoaderMachine,
        kind: u8,
        has_restarts: bool,
        now: Timestamp,
    ) {
        if kind.is_multiple_of(7) && !self.late.is_empty() {
            let order = self.late.remove(0);
            self.carry_out(&order);
        }
        if has_restarts && kind % 32 == 11 {
            self.restart();
        }
        if kind.is_multiple_of(3) && !self.loading.is_empty() {
            let (id, version) = self.loading.remove(0);
            self.held.insert(id, version);
        }
        match machine.next_step(now) {
            LoaderStep::Identify => machine.take_instance("e1".into()),
            LoaderStep::Poll => machine.take_report(self.report(), now),
            LoaderStep::Wait(_) => {}
            LoaderStep::Order(order) => {
                let answer = self.take_order(&order, kind);
                machine.take_answer(&order, answer, now);
            }
        }
    }
}
