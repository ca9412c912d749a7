//! One revision of the configuration, indexed for lookups; snapshots share unchanged parts.

use crate::{
    config::{
        document::ConfigDocument,
        parts::{
            ADAPTER_PARTS, CALLERS_PART, ConfigPart, ConfigRoot, PRESETS_PART, PartName,
            SERVICES_PART, adapter_part, adapter_part_name,
        },
        records::{AdapterRecord, CallerRecord, PresetRecord, ServiceRecord},
    },
    ids::{AdapterKey, AdapterVersion, ConfigRevision, ModelSelector},
};
use std::{collections::BTreeMap, sync::Arc};

/// Why a model selector cannot be resolved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResolveError {
    /// The configuration has no adapter of this name.
    UnknownAdapter,
    /// The adapter has no such version; holds the versions that it has.
    UnknownVersion(Vec<AdapterVersion>),
}

/// An indexed revision of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    root: ConfigRoot,
    parts: BTreeMap<PartName, Arc<ConfigPart>>,
    adapters: Vec<Arc<ConfigPart>>,
    preset: PresetRecord,
}

impl ConfigSnapshot {
    /// Joins a root with all parts that it names; the error names a missing part or preset.
    pub fn new(
        root: ConfigRoot,
        parts: BTreeMap<PartName, Arc<ConfigPart>>,
    ) -> Result<Self, String> {
        let adapters = (0..ADAPTER_PARTS)
            .map(|index| {
                let name = adapter_part_name(index);
                parts.get(&name).cloned().ok_or(format!("part `{name}` is missing"))
            })
            .collect::<Result<_, _>>()?;
        let preset = find_preset(&root, &parts)?;
        Ok(Self { root, parts, adapters, preset })
    }

    /// The snapshot of a system without configuration: revision 0.
    pub fn empty() -> Self {
        let document = ConfigDocument::default();
        let parts = document.to_parts().into_iter().map(|(k, v)| (k, Arc::new(v))).collect();
        let root = ConfigRoot { preset: document.preset, ..ConfigRoot::default() };
        Self::new(root, parts).expect("the default document has all parts")
    }

    /// The root that this snapshot was built from.
    pub fn root(&self) -> &ConfigRoot {
        &self.root
    }

    /// Revision of the root; 0 if nothing is configured.
    pub fn revision(&self) -> ConfigRevision {
        self.root.revision
    }

    /// Record of the preset in force.
    pub fn preset(&self) -> &PresetRecord {
        &self.preset
    }

    /// A part by name, for reuse by the next snapshot.
    pub fn part(&self, name: &str) -> Option<&Arc<ConfigPart>> {
        self.parts.get(name)
    }

    /// All parts as one editable document.
    pub fn to_document(&self) -> ConfigDocument {
        let parts = self.parts.values().map(|part| ConfigPart::clone(part));
        ConfigDocument::from_parts(self.root.preset.clone(), parts)
    }

    /// An adapter by name.
    pub fn adapter(&self, name: &str) -> Option<&AdapterRecord> {
        let ConfigPart::Adapters(records) = &*self.adapters[adapter_part(name)] else {
            return None;
        };
        let index = records.binary_search_by(|record| record.name.as_ref().cmp(name)).ok()?;
        Some(&records[index])
    }

    /// All adapters, in no particular order.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRecord> {
        self.adapters.iter().flat_map(|part| match &**part {
            ConfigPart::Adapters(records) => records.as_slice(),
            _ => &[],
        })
    }

    /// Resolves a selector to the adapter version that a request runs on.
    pub fn resolve(
        &self,
        selector: &ModelSelector,
    ) -> Result<(AdapterKey, &AdapterRecord), ResolveError> {
        let record = self.adapter(&selector.name).ok_or(ResolveError::UnknownAdapter)?;
        let version = selector.version.unwrap_or(record.current);
        if !record.versions.contains(&version) {
            return Err(ResolveError::UnknownVersion(record.versions.clone()));
        }
        Ok((AdapterKey::new(record.name.clone(), version), record))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        match self.parts.get(SERVICES_PART).map(AsRef::as_ref) {
            Some(ConfigPart::Services(records)) => records.iter().find(|r| &*r.name == name),
            _ => None,
        }
    }

    /// All callers.
    pub fn callers(&self) -> &[CallerRecord] {
        match self.parts.get(CALLERS_PART).map(AsRef::as_ref) {
            Some(ConfigPart::Callers(records)) => records,
            _ => &[],
        }
    }
}

fn find_preset(
    root: &ConfigRoot,
    parts: &BTreeMap<PartName, Arc<ConfigPart>>,
) -> Result<PresetRecord, String> {
    let Some(ConfigPart::Presets(presets)) = parts.get(PRESETS_PART).map(AsRef::as_ref) else {
        return Err(format!("part `{PRESETS_PART}` is missing"));
    };
    let active = presets.iter().find(|preset| preset.name == root.preset);
    active.cloned().ok_or_else(|| format!("preset `{}` is missing", root.preset))
}
