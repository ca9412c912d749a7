//! Tests of configuration records, edits and parts.

use plantain_core::{
    config::{
        AdapterRecord, ConfigDocument, ConfigEdit, ConfigRoot, ConfigSnapshot, PresetRecord,
        RouteRecord, ServiceRecord, diff::describe_changes,
    },
    ids::ModelSelector,
};
use std::{collections::BTreeMap, sync::Arc};

fn adapter(name: &str, versions: &[u32], current: u32) -> AdapterRecord {
    AdapterRecord {
        name: name.into(),
        base: "scribe".into(),
        versions: versions.to_vec(),
        current,
        idempotent: true,
    }
}

fn document() -> ConfigDocument {
    let mut document = ConfigDocument::default();
    let records = (0..200).map(|index| adapter(&format!("house-{index}"), &[1, 2], 1)).collect();
    ConfigEdit::AddAdapters(records).apply(&mut document).expect("good adapters");
    document
}

fn snapshot(document: &ConfigDocument) -> ConfigSnapshot {
    let parts: BTreeMap<_, _> =
        document.to_parts().into_iter().map(|(name, part)| (name, Arc::new(part))).collect();
    let root = ConfigRoot { revision: 1, preset: document.preset.clone(), ..ConfigRoot::default() };
    ConfigSnapshot::new(root, parts).expect("all parts")
}

#[test]
fn document_is_rebuilt_from_its_parts() {
    let document = document();
    assert_eq!(snapshot(&document).to_document(), document);
}

struct ResolveCase {
    selector: &'static str,
    found: Option<&'static str>,
}

#[test]
fn selectors_resolve_to_one_version() {
    let snapshot = snapshot(&document());
    let cases = [
        ResolveCase { selector: "house-7", found: Some("house-7@1") },
        ResolveCase { selector: "house-7@2", found: Some("house-7@2") },
        ResolveCase { selector: "house-7@3", found: None },
        ResolveCase { selector: "house-700", found: None },
    ];
    for case in cases {
        let selector = ModelSelector::parse(case.selector).expect("a good selector");
        let found = snapshot.resolve(&selector).ok().map(|(key, _)| key.to_string());
        assert_eq!(found.as_deref(), case.found, "{}", case.selector);
    }
}

struct EditCase {
    edit: ConfigEdit,
    message: &'static str,
}

#[test]
fn invalid_edits_are_refused() {
    let other_base = AdapterRecord { base: "clerk".into(), ..adapter("house-1", &[3], 3) };
    let cases = [
        EditCase { edit: ConfigEdit::RollOut("house-1".into(), 9), message: "no version 9" },
        EditCase { edit: ConfigEdit::RollOut("villa".into(), 1), message: "no adapter" },
        EditCase { edit: ConfigEdit::Retire("house-1".into(), Some(1)), message: "current" },
        EditCase { edit: ConfigEdit::Retire("villa".into(), None), message: "no adapter" },
        EditCase { edit: ConfigEdit::AddAdapters(vec![other_base]), message: "base" },
        EditCase { edit: ConfigEdit::SwitchPreset("peak".into()), message: "ordinary" },
        EditCase { edit: ConfigEdit::RemovePreset("ordinary".into()), message: "in force" },
        EditCase {
            edit: ConfigEdit::PutPreset(PresetRecord {
                stall_weight: -1.0,
                ..PresetRecord::new("peak")
            }),
            message: "stall_weight",
        },
    ];
    for case in cases {
        let error = case.edit.apply(&mut document()).expect_err(case.message).to_string();
        assert!(error.contains(case.message), "{error}");
    }
}

#[test]
fn changes_are_listed() {
    let old = document();
    let mut new = old.clone();
    ConfigEdit::Retire("house-3".into(), None).apply(&mut new).expect("known");
    ConfigEdit::RollOut("house-4".into(), 2).apply(&mut new).expect("known");
    ConfigEdit::PutPreset(PresetRecord::new("peak")).apply(&mut new).expect("good");
    ConfigEdit::SwitchPreset("peak".into()).apply(&mut new).expect("known");
    let lines = describe_changes(&old, &new);
    assert_eq!(
        lines,
        [
            "preset in force: ordinary -> peak",
            "adapter house-4: changed",
            "adapter house-3: removed",
            "preset peak: added",
        ]
    );
}

struct RouteCase {
    method: &'static str,
    path: &'static str,
    idempotent: bool,
}

#[test]
fn calls_without_a_rule_follow_http() {
    let rule = |method: &str, prefix: &str, idempotent| RouteRecord {
        method: method.into(),
        path_prefix: prefix.into(),
        idempotent,
    };
    let service = ServiceRecord {
        name: "desk".into(),
        routes: vec![rule("POST", "/search", true), rule("*", "/stamps", false)],
    };
    let cases = [
        RouteCase { method: "POST", path: "/search/gates", idempotent: true },
        RouteCase { method: "GET", path: "/stamps/1", idempotent: false },
        RouteCase { method: "GET", path: "/other", idempotent: true },
        RouteCase { method: "POST", path: "/other", idempotent: false },
        RouteCase { method: "PATCH", path: "/other", idempotent: false },
    ];
    for case in cases {
        let found = service.is_idempotent(case.method, case.path);
        assert_eq!(found, case.idempotent, "{} {}", case.method, case.path);
    }
}
