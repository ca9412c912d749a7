//! A queue model of a service's engines, whose calls routers send by their real choice.

use super::super::support::{BASE, ENGINES, config, ms, need, report, target};
use plantain_core::direct::{
    call::{ModelCall, ModelNeed},
    capacity::encode_rate,
    membership::TargetIncarnation,
    messages::LoaderReport,
    selection::{TargetChoice, choose_target},
    targets::TargetPool,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::VecDeque, iter::Sum, sync::Arc};

/// Prompt tokens that an engine of speed 1 prefills in a millisecond.
const PREFILL_RATE: f64 = 44.2;
/// Batch of an engine, as in the test's configuration.
const BATCH: usize = 8;
/// Time in ms from the first byte to the end of a run at an engine of speed 1.
const DECODE_MS: f64 = 300.0;
/// Usual tokens of a prompt, and of one in thirty.
const PROMPTS: (u32, u32) = (600, 10_000);
/// Time of all decoding over the time of all batch slots. With the prefill, the batches are nearly always full.
const LOAD: f64 = 0.81;
/// Time in ms within which the first byte must come.
const OBJECTIVE_MS: u64 = 200;
/// Interval in ms of each engine's reports to each router.
const REPORT_MS: u64 = 20;
/// Time in ms in which calls arrive.
const DURATION_MS: u64 = 40_000;
const ROUTERS: usize = 4;

/// Calls that an engine answered, and how many of them late.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedCalls {
    pub calls: f64,
    pub late: f64,
}

impl Sum for ServedCalls {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |sum, served| Self {
            calls: sum.calls + served.calls,
            late: sum.late + served.late,
        })
    }
}

struct QueuedCall {
    router: usize,
    sent: u64,
    tokens: u32,
    /// Tokens that are left to prefill.
    unread: f64,
    /// When its run ends, once it is prefilled.
    ends: f64,
}

struct EngineQueue {
    incarnation: TargetIncarnation,
    speed: f64,
    queued: VecDeque<QueuedCall>,
    /// In order of arrival; prompts are prefilled in that order.
    active: Vec<QueuedCall>,
    served: ServedCalls,
    run_ms: f64,
}

pub struct QueueModel {
    engines: Vec<EngineQueue>,
    pools: Vec<TargetPool>,
    random: StdRng,
    reports_rates: bool,
}

impl QueueModel {
    /// Engines of these speeds, whose reports lack rates.
    pub fn new(speeds: &[f64], seed: u64) -> Self {
        let ids: Vec<String> = (0..speeds.len()).map(|index| format!("e{index}")).collect();
        let entries = ids.iter().enumerate();
        let entries: Vec<_> = entries
            .map(|(index, id)| Arc::new(target(id, ENGINES, "a", index as u16 + 1)))
            .collect();
        let pools = (0..ROUTERS).map(|_| {
            let mut pool = TargetPool::new();
            pool.take_config(Arc::new(config(1, Vec::new())));
            pool.replace_list(entries.clone(), ms(0));
            pool
        });
        let engines = ids.iter().zip(speeds).map(|(id, speed)| EngineQueue {
            incarnation: id.as_str().into(),
            speed: *speed,
            queued: VecDeque::new(),
            active: Vec::new(),
            served: ServedCalls::default(),
            run_ms: DECODE_MS / speed,
        });
        Self {
            engines: engines.collect(),
            pools: pools.collect(),
            random: StdRng::seed_from_u64(seed),
            reports_rates: false,
        }
    }

    /// Lets the loaders report their engines' capacities.
    pub fn with_reported_rates(self) -> Self {
        Self { reports_rates: true, ..self }
    }

    /// Runs the model; returns what each engine served.
    pub fn run(mut self) -> Vec<ServedCalls> {
        let speed: f64 = self.engines.iter().map(|engine| engine.speed).sum();
        let arrivals_per_ms = LOAD * speed * BATCH as f64 / DECODE_MS;
        for now in 0..DURATION_MS {
            if now % REPORT_MS == 0 {
                self.report(now);
            }
            // At most one call a millisecond arrives at each router.
            for router in 0..ROUTERS {
                if self.random.random_bool(arrivals_per_ms / ROUTERS as f64) {
                    self.send(router, now);
                }
            }
            for engine in &mut self.engines {
                engine.step(&mut self.pools, now);
            }
        }
        self.engines.iter().map(|engine| engine.served).collect()
    }

    fn report(&mut self, now: u64) {
        for engine in &self.engines {
            let report = engine.report(now, self.reports_rates);
            for pool in &mut self.pools {
                let target = pool.target(&engine.incarnation).expect("an engine");
                let host = target.entry.address.ip();
                pool.take_report(host, report.clone(), ms(now));
            }
        }
    }

    fn send(&mut self, router: usize, now: u64) {
        let tokens = if self.random.random_bool(1.0 / 30.0) { PROMPTS.1 } else { PROMPTS.0 };
        let call = ModelCall {
            need: ModelNeed { base: BASE.into(), adapter: None },
            tokens_in: tokens,
            tokens_out: 70,
            parts: Vec::new(),
        };
        let (service, zone) = (ENGINES.into(), "a".into());
        let pool = &mut self.pools[router];
        let random = &mut self.random;
        let choice =
            choose_target(pool, &need(&service, &zone, Some(&call)), ms(now), || random.random());
        let TargetChoice::Send(incarnation, _) = choice else {
            panic!("an engine, not {choice:?}")
        };
        pool.call_started(&incarnation, None, tokens);
        let mut engines = self.engines.iter_mut();
        let engine = engines.find(|engine| engine.incarnation == incarnation).expect("an engine");
        let unread = f64::from(tokens);
        engine.queued.push_back(QueuedCall { router, sent: now, tokens, unread, ends: f64::MAX });
    }
}

impl EngineQueue {
    /// Runs for a millisecond.
    fn step(&mut self, pools: &mut [TargetPool], now: u64) {
        while self.active.len() < BATCH
            && let Some(call) = self.queued.pop_front()
        {
            self.active.push(call);
        }
        let mut budget = PREFILL_RATE * self.speed;
        for call in self.active.iter_mut().filter(|call| call.unread > 0.0) {
            let taken = budget.min(call.unread);
            call.unread -= taken;
            budget -= taken;
            if call.unread > 0.0 {
                break;
            }
            call.ends = now as f64 + DECODE_MS / self.speed;
            let took = now - call.sent;
            pools[call.router].call_answered(&self.incarnation, None, call.tokens, ms(took));
            self.served.calls += 1.0;
            self.served.late += f64::from(u8::from(took > OBJECTIVE_MS));
        }
        let ended = self.active.extract_if(.., |call| call.ends <= now as f64);
        for call in ended {
            let took = now - call.sent;
            self.run_ms += 0.05 * (took as f64 - self.run_ms);
            pools[call.router].call_ended(&self.incarnation, 0);
            pools[call.router].run_ended(&self.incarnation, ms(took));
        }
    }

    fn report(&self, now: u64, reports_rates: bool) -> LoaderReport {
        let unread: f64 = self.active.iter().chain(&self.queued).map(|call| call.unread).sum();
        let (prefill_rate, run_ms) = if reports_rates {
            (encode_rate(PREFILL_RATE * self.speed), self.run_ms as u16)
        } else {
            (0, 0)
        };
        LoaderReport {
            active: self.active.len() as u16,
            queued: self.queued.len() as u16,
            prefill_tokens: unread as u32,
            prefill_rate,
            run_ms,
            ..report(&self.incarnation.id, now as u32 + 1, &[])
        }
    }
}
