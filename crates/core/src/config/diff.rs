//! Human-readable differences between two configurations.

use crate::config::document::ConfigDocument;
use std::{collections::BTreeMap, sync::Arc};

/// One line for each record that differs, sorted by kind and name.
pub fn describe_changes(old: &ConfigDocument, new: &ConfigDocument) -> Vec<String> {
    let mut lines = Vec::new();
    if old.preset != new.preset {
        lines.push(format!("preset in force: {} -> {}", old.preset, new.preset));
    }
    compare("adapter", &old.adapters, &new.adapters, &mut lines);
    compare("service", &old.services, &new.services, &mut lines);
    compare("caller", &old.callers, &new.callers, &mut lines);
    compare("preset", &old.presets, &new.presets, &mut lines);
    lines
}

fn compare<T: PartialEq>(
    kind: &str,
    old: &BTreeMap<Arc<str>, T>,
    new: &BTreeMap<Arc<str>, T>,
    lines: &mut Vec<String>,
) {
    for (name, record) in new {
        match old.get(name) {
            None => lines.push(format!("{kind} {name}: added")),
            Some(known) if known != record => lines.push(format!("{kind} {name}: changed")),
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    lines.extend(removed.map(|name| format!("{kind} {name}: removed")));
}
