//! Routes: the longest prefix, and shares of services.

use super::support::{DESK, ENGINES, config, route};
use plantain_core::direct::config::CallKind;

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
