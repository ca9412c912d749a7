//! The choice of a target for a stream that holds to a version.

use super::super::support::{DESK, ENGINES, config, ms, need, route, target};
use plantain_core::direct::{
    config::{CallKind, RouteConfig},
    membership::{TargetEntry, TargetIncarnation},
    selection::{CallNeed, SoftwareNeed, TargetChoice, choose_target},
    streams::software_tag,
    targets::{TargetPool, software::VersionPresence},
};
use std::sync::Arc;

fn streams() -> Arc<RouteConfig> {
    let kind = CallKind::Stream { resumable: true };
    Arc::new(config(1, vec![route("/s/", kind, &[(DESK, 1)])]))
}

struct ChoiceCase {
    name: &'static str,
    software: SoftwareNeed<'static>,
    draining: &'static [&'static str],
    excluded: &'static [&'static str],
    /// The call must go to one of these targets; if there are none, nowhere.
    chosen: &'static [&'static str],
}

/// Guards against a resumed stream at a target of another version, and against one that is refused although a target of its
/// version serves.
#[test]
fn a_call_that_holds_to_a_version_goes_to_its_targets_only() {
    let v1: &'static Arc<str> = Box::leak(Box::new("v1".into()));
    let v9: &'static Arc<str> = Box::leak(Box::new("v9".into()));
    let only = SoftwareNeed::Only(v1);
    let cases = [
        ChoiceCase {
            name: "any",
            software: SoftwareNeed::Any,
            draining: &["a1", "a2"],
            excluded: &["n1"],
            chosen: &["b1"],
        },
        ChoiceCase {
            name: "only",
            software: only,
            draining: &[],
            excluded: &[],
            chosen: &["a1", "a2"],
        },
        ChoiceCase {
            name: "the last one",
            software: only,
            draining: &["a1"],
            excluded: &[],
            chosen: &["a2"],
        },
        ChoiceCase {
            name: "none left",
            software: only,
            draining: &["a1"],
            excluded: &["a2"],
            chosen: &[],
        },
        ChoiceCase {
            name: "never seen",
            software: SoftwareNeed::Only(v9),
            draining: &[],
            excluded: &[],
            chosen: &[],
        },
        ChoiceCase {
            name: "begins a stream",
            software: SoftwareNeed::Settled,
            draining: &[],
            excluded: &[],
            chosen: &["a1", "a2"],
        },
        ChoiceCase {
            name: "begins a stream, new versions only",
            software: SoftwareNeed::Settled,
            draining: &["a1", "a2"],
            excluded: &["n1"],
            chosen: &["b1"],
        },
    ];
    for case in cases {
        let mut pool = TargetPool::new();
        pool.take_config(streams());
        let entry = |id: &str, port, software: Option<&str>| {
            Arc::new(TargetEntry {
                software: software.map(Into::into),
                is_draining: case.draining.contains(&id),
                ..target(id, DESK, "a", port)
            })
        };
        let entries = vec![
            entry("a1", 1, Some("v1")),
            entry("a2", 2, Some("v1")),
            entry("b1", 3, Some("v2")),
            entry("n1", 4, None),
        ];
        pool.replace_list(entries, ms(0));
        let excluded: Vec<TargetIncarnation> =
            case.excluded.iter().map(|id| (*id).into()).collect();
        let (service, zone) = (DESK.into(), "a".into());
        for draw in 0..8_u8 {
            let need = CallNeed {
                excluded: &excluded,
                software: case.software,
                ..need(&service, &zone, None)
            };
            let choice = choose_target(&pool, &need, ms(1), || f64::from(draw) / 8.0);
            match choice {
                TargetChoice::Send(target, _) => {
                    assert!(case.chosen.contains(&&*target.id), "{}: {target}", case.name);
                }
                other => {
                    assert_eq!(other, TargetChoice::Nowhere, "{}", case.name);
                    assert!(case.chosen.is_empty(), "{}", case.name);
                }
            }
        }
    }
}

/// Guards against a version that is found under another service, and against "gone" while the list is not known.
#[test]
fn a_recorded_version_is_found_among_the_services_of_its_route() {
    let mut pool = TargetPool::new();
    pool.take_config(streams());
    assert_eq!(pool.version_presence(DESK, "v1"), VersionPresence::Unclear);
    let leaving = TargetEntry {
        software: Some("v0".into()),
        is_draining: true,
        ..target("d0", DESK, "a", 3)
    };
    let entries = [target("d1", DESK, "a", 1), target("e1", ENGINES, "a", 2), leaving];
    pool.replace_list(entries.map(Arc::new).into(), ms(0));
    let route = Arc::clone(pool.config().routes().next().expect("a route"));
    let found = |tag| pool.software_of(&route, tag).map(|(service, _)| service.to_string());
    assert_eq!(found(software_tag(DESK, "v1")).as_deref(), Some(DESK));
    assert_eq!(found(software_tag(ENGINES, "v1")), None);
    assert_eq!(found(software_tag(DESK, "v2")), None);
    assert_eq!(pool.version_presence(DESK, "v1"), VersionPresence::Serving);
    assert_eq!(pool.version_presence(DESK, "v0"), VersionPresence::Gone);
    pool.note_outage();
    assert_eq!(pool.version_presence(DESK, "v0"), VersionPresence::Unclear);
}
