//! Routes: the longest prefix, and shares of services.

use super::support::{BASE, DESK, ENGINES, config, route};
use plantain_core::direct::{
    call::ModelNeed,
    config::{BaseSpec, CallKind, EngineSpec},
};

struct PathCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[test]
fn the_longest_prefix_of_the_host_matches() {
    let routes = vec![
        route("/a/", CallKind::Idempotent, &[(DESK, 1)]),
        route("/a/b/", CallKind::Idempotent, &[(DESK, 1)]),
        route("/c/", CallKind::Idempotent, &[(DESK, 1)]),
    ];
    let config = config(1, routes);
    let cases = [
        PathCase { host: "gate.example", path: "/a/x", route: Some("a") },
        PathCase { host: "gate.example", path: "/a/b/x/y", route: Some("a/b") },
        PathCase { host: "gate.example", path: "/a/b/", route: Some("a/b") },
        PathCase { host: "gate.example", path: "/a/bc/x", route: Some("a") },
        PathCase { host: "gate.example", path: "/a/x?next=/a/b/", route: Some("a") },
        PathCase { host: "gate.example", path: "/a", route: None },
        PathCase { host: "gate.example", path: "/d/a/", route: None },
        PathCase { host: "other.example", path: "/a/x", route: None },
    ];
    for case in cases {
        let found = config.find(case.host, case.path).map(|route| &*route.name);
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

struct ShareCase {
    draw: f64,
    service: &'static str,
}

#[test]
fn shares_follow_their_weights() {
    let rule = route("/a/", CallKind::Idempotent, &[(ENGINES, 90), (DESK, 10)]);
    let cases = [
        ShareCase { draw: 0.0, service: ENGINES },
        ShareCase { draw: 0.89, service: ENGINES },
        ShareCase { draw: 0.91, service: DESK },
        ShareCase { draw: 0.999_999, service: DESK },
    ];
    for case in cases {
        let picked = rule.pick_service(case.draw).map(|service| &**service);
        assert_eq!(picked, Some(case.service), "draw {}", case.draw);
    }
    let nowhere = route("/a/", CallKind::Idempotent, &[]);
    assert_eq!(nowhere.pick_service(0.5), None);
}

struct FitCase {
    name: &'static str,
    weights_mb: f64,
    adapter_mb: f64,
    slots: usize,
    base: &'static str,
    adapter: Option<&'static str>,
    fits: bool,
}

impl Default for FitCase {
    fn default() -> Self {
        Self {
            name: "",
            weights_mb: 70_000.0,
            adapter_mb: 10_000.0,
            slots: 4,
            base: BASE,
            adapter: Some("a1"),
            fits: true,
        }
    }
}

/// Guards against calls that wait until their deadline for an adapter which no engine can hold.
#[test]
fn what_no_engine_can_hold_is_told_from_the_configuration() {
    let cases = [
        FitCase { name: "exactly", ..FitCase::default() },
        FitCase {
            name: "too large by a little",
            adapter_mb: 10_000.1,
            fits: false,
            ..FitCase::default()
        },
        FitCase { name: "no slots", slots: 0, fits: false, ..FitCase::default() },
        FitCase {
            name: "a base model needs no slot",
            slots: 0,
            adapter: None,
            ..FitCase::default()
        },
        FitCase {
            name: "a base model alone",
            adapter_mb: 90_000.0,
            adapter: None,
            ..FitCase::default()
        },
        FitCase {
            name: "too large a base model",
            weights_mb: 80_000.1,
            adapter: None,
            fits: false,
            ..FitCase::default()
        },
        FitCase {
            name: "an unknown base model",
            base: "other",
            weights_mb: 90_000.0,
            ..FitCase::default()
        },
    ];
    for case in cases {
        let base = BaseSpec {
            name: BASE.into(),
            weights_mb: case.weights_mb,
            adapter_mb: case.adapter_mb,
        };
        let engine = EngineSpec {
            batch: 8,
            kv_tokens: 100_000,
            memory_mb: 80_000.0,
            adapter_slots: case.slots,
            bases: vec![base],
        };
        let need = ModelNeed { base: case.base.into(), adapter: case.adapter.map(Into::into) };
        assert_eq!(engine.can_hold(&need), case.fits, "{}", case.name);
    }
}

struct SizeCase {
    size: f64,
    limit: f64,
}

/// Guards against sums of sizes that fall below the engine's own because loaders get them in single precision.
#[test]
fn sizes_are_rounded_up_and_memory_is_rounded_down() {
    let cases = [
        SizeCase { size: 66.0, limit: 75_200.0 },
        SizeCase { size: 66.1, limit: 75_200.1 },
        SizeCase { size: 72_700.003, limit: 75_200.003 },
        SizeCase { size: 0.0, limit: 0.0 },
    ];
    for case in cases {
        let base = BaseSpec { name: BASE.into(), weights_mb: case.size, adapter_mb: case.size };
        let offer = base.offer();
        assert!(
            f64::from(offer.adapter_mb) >= case.size && f64::from(offer.weights_mb) >= case.size
        );
        let engine = EngineSpec {
            batch: 8,
            kv_tokens: 100_000,
            memory_mb: case.limit,
            adapter_slots: 4,
            bases: vec![base],
        };
        assert!(f64::from(engine.offered_memory()) <= case.limit);
    }
}
