//! The complete configuration in the form that the command-line tool edits.

use crate::{
    config::{
        parts::{
            ADAPTER_PARTS, CALLERS_PART, ConfigPart, PRESETS_PART, PartName, SERVICES_PART,
            adapter_part, adapter_part_name,
        },
        records::{AdapterRecord, CallerRecord, PresetRecord, ServiceRecord},
    },
    ids::{AdapterName, CallerName, PresetName, ServiceName},
};
use std::collections::BTreeMap;

/// Name of the preset in a new configuration.
pub const DEFAULT_PRESET: &str = "ordinary";

/// All records, by name.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDocument {
    /// Adapters by name.
    pub adapters: BTreeMap<AdapterName, AdapterRecord>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRecord>,
    /// Callers by name.
    pub callers: BTreeMap<CallerName, CallerRecord>,
    /// Presets by name.
    pub presets: BTreeMap<PresetName, PresetRecord>,
    /// Name of the preset in force.
    pub preset: PresetName,
}

impl Default for ConfigDocument {
    fn default() -> Self {
        let preset = PresetRecord::new(DEFAULT_PRESET);
        Self {
            adapters: BTreeMap::new(),
            services: BTreeMap::new(),
            callers: BTreeMap::new(),
            preset: preset.name.clone(),
            presets: BTreeMap::from([(preset.name.clone(), preset)]),
        }
    }
}

impl ConfigDocument {
    /// Builds a document from the records of all parts.
    pub fn from_parts(preset: PresetName, parts: impl IntoIterator<Item = ConfigPart>) -> Self {
        let mut document = Self { preset, ..Self::default() };
        document.presets.clear();
        for part in parts {
            document.add_part(part);
        }
        document
    }

    fn add_part(&mut self, part: ConfigPart) {
        match part {
            ConfigPart::Adapters(records) => {
                self.adapters.extend(records.into_iter().map(|r| (r.name.clone(), r)));
            }
            ConfigPart::Services(records) => {
                self.services.extend(records.into_iter().map(|r| (r.name.clone(), r)));
            }
            ConfigPart::Callers(records) => {
                self.callers.extend(records.into_iter().map(|r| (r.name.clone(), r)));
            }
            ConfigPart::Presets(records) => {
                self.presets.extend(records.into_iter().map(|r| (r.name.clone(), r)));
            }
        }
    }

    /// Splits the records into parts; every part is present, even if it is empty.
    pub fn to_parts(&self) -> BTreeMap<PartName, ConfigPart> {
        let mut shards: Vec<Vec<AdapterRecord>> = vec![Vec::new(); ADAPTER_PARTS];
        for record in self.adapters.values() {
            shards[adapter_part(&record.name)].push(record.clone());
        }
        let mut parts: BTreeMap<PartName, ConfigPart> = shards
            .into_iter()
            .enumerate()
            .map(|(index, shard)| (adapter_part_name(index), ConfigPart::Adapters(shard)))
            .collect();
        parts.insert(
            SERVICES_PART.into(),
            ConfigPart::Services(self.services.values().cloned().collect()),
        );
        parts.insert(
            CALLERS_PART.into(),
            ConfigPart::Callers(self.callers.values().cloned().collect()),
        );
        parts.insert(
            PRESETS_PART.into(),
            ConfigPart::Presets(self.presets.values().cloned().collect()),
        );
        parts
    }
}
