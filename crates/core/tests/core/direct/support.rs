//! Targets, configurations and reports for tests.

use plantain_core::{
    direct::{
        call::{AdapterId, ModelCall, ModelNeed},
        config::{
            BaseSpec, CallKind, CallerLimits, EngineSpec, RouteConfig, RouteRule, ServiceShare,
            ServiceSpec,
        },
        limits::messages::UsageReport,
        membership::{BaseHolding, TargetEntry},
        messages::LoaderReport,
        selection::{CallNeed, SoftwareNeed},
        targets::TargetPool,
    },
    ids::{AdapterVersion, ServiceName, ZoneName},
};
use std::{sync::Arc, time::Duration};

pub const BASE: &str = "scribe";
pub const ENGINES: &str = "engines";
pub const DESK: &str = "desk";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn adapter(name: &str) -> AdapterId {
    AdapterId { base: BASE.into(), name: name.into() }
}

pub fn holding(adapters: &[(&str, AdapterVersion)]) -> BaseHolding {
    let adapters = adapters.iter().map(|(name, version)| ((*name).into(), *version));
    BaseHolding { base: BASE.into(), version: 1, adapters: adapters.collect() }
}

pub fn target(id: &str, service: &str, zone: &str, port: u16) -> TargetEntry {
    let is_engine = service == ENGINES;
    TargetEntry {
        incarnation: id.into(),
        service: service.into(),
        address: ([127, 0, 0, port as u8], port).into(),
        zone: zone.into(),
        slots: 8,
        generation: u64::from(port),
        is_draining: false,
        cold: Duration::ZERO,
        holdings: if is_engine { vec![holding(&[])] } else { Vec::new() },
        software: Some("v1".into()),
    }
}

pub fn route(prefix: &str, kind: CallKind, shares: &[(&str, u32)]) -> RouteRule {
    let shares = shares
        .iter()
        .map(|(service, weight)| ServiceShare { service: (*service).into(), weight: *weight });
    RouteRule {
        name: prefix.trim_matches('/').into(),
        host: "gate.example".into(),
        prefix: prefix.into(),
        kind,
        time_limit: Some(ms(5_000)),
        objective: ms(800),
        priority: 0,
        max_targets: 2,
        is_open: false,
        shares: shares.collect(),
    }
}

pub fn config(number: u64, routes: Vec<RouteRule>) -> RouteConfig {
    let engine = EngineSpec {
        batch: 8,
        kv_tokens: 100_000,
        memory_mb: 80_000.0,
        adapter_slots: 4,
        bases: vec![BaseSpec { name: BASE.into(), weights_mb: 70_000.0, adapter_mb: 60.0 }],
    };
    let services = [
        (ENGINES, ServiceSpec { connection_limit: 100, engine: Some(engine) }),
        (DESK, ServiceSpec { connection_limit: 100, engine: None }),
    ];
    let services = services.into_iter().map(|(name, spec)| (name.into(), Arc::new(spec)));
    RouteConfig::new(number, routes, services.collect(), CallerLimits::default())
}

/// Three engines in zones `a` to `c`, and two targets of a plain service.
pub fn pool() -> TargetPool {
    let mut pool = TargetPool::new();
    pool.take_config(Arc::new(config(1, Vec::new())));
    let entries = [
        target("e1", ENGINES, "a", 1),
        target("e2", ENGINES, "b", 2),
        target("e3", ENGINES, "c", 3),
        target("d1", DESK, "a", 4),
        target("d2", DESK, "b", 5),
    ];
    pool.replace_list(entries.into_iter().map(Arc::new).collect(), Duration::ZERO);
    pool
}

pub fn report(id: &str, sequence: u32, adapters: &[(&str, AdapterVersion)]) -> LoaderReport {
    LoaderReport {
        boot: 1,
        sequence,
        incarnation: id.into(),
        is_answering: true,
        is_draining: false,
        holdings: vec![holding(adapters)],
        rates: Vec::new(),
        free_slots: 4,
        loading: Vec::new(),
        load_ms: 120,
        queue_ms: 0,
        active: 0,
        queued: 0,
        kv_used: 0,
        prefill_tokens: 0,
        prefill_rate: 0,
        run_ms: 0,
        host_memory: Vec::new(),
    }
}

pub fn model_call(name: Option<&str>) -> ModelCall {
    ModelCall {
        need: ModelNeed { base: BASE.into(), adapter: name.map(Into::into) },
        tokens_in: 600,
        tokens_out: 70,
        parts: Vec::new(),
    }
}

/// What a call of one of two routers needs.
pub fn need<'a>(
    service: &'a ServiceName,
    zone: &'a ZoneName,
    model: Option<&'a ModelCall>,
) -> CallNeed<'a> {
    CallNeed {
        service,
        model,
        zone,
        excluded: &[],
        routers: 2,
        waiting_at: None,
        may_request_report: false,
        software: SoftwareNeed::Any,
    }
}

/// The first report of a router to the meter 3.
pub fn usage_report() -> UsageReport {
    UsageReport {
        boot: 5,
        sequence: 1,
        meter: 3,
        enrolment: 0,
        reachable: vec![3],
        routers: 1,
        config: 1,
        requests: Vec::new(),
        limit_updates: Vec::new(),
        uptime_ms: 0,
        used_elsewhere: Vec::new(),
    }
}
