//! Changes by operators, validated against the complete configuration before it is written.

use crate::{
    config::{
        document::ConfigDocument,
        records::{AdapterRecord, CallerRecord, PresetRecord, ServiceRecord},
    },
    ids::{AdapterName, AdapterVersion, CallerName, PresetName, ServiceName},
};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEdit {
    /// Adds adapters, or versions to adapters that exist; does not change a current version.
    AddAdapters(Vec<AdapterRecord>),
    /// Sets an adapter's current version, which is used when a request names none.
    RollOut(AdapterName, AdapterVersion),
    /// Removes one version, or the whole adapter.
    Retire(AdapterName, Option<AdapterVersion>),
    /// Adds or replaces a caller.
    PutCaller(CallerRecord),
    /// Removes a caller.
    RemoveCaller(CallerName),
    /// Adds or replaces a service.
    PutService(ServiceRecord),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Adds or replaces a preset.
    PutPreset(PresetRecord),
    /// Removes a preset that is not in force.
    RemovePreset(PresetName),
    /// Puts a preset in force.
    SwitchPreset(PresetName),
}

/// Message that explains why a change cannot be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EditError(String);

impl EditError {
    fn new(message: impl Into<String>) -> Self {
        Self(message.into())
    }

    fn missing(kind: &str, name: &str) -> Self {
        Self(format!("there is no {kind} `{name}`"))
    }
}

impl fmt::Display for EditError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for EditError {}

impl ConfigEdit {
    /// Applies the change to `document`. After an error the document may be partly changed.
    pub fn apply(&self, document: &mut ConfigDocument) -> Result<(), EditError> {
        match self {
            Self::AddAdapters(records) => add_adapters(document, records),
            Self::RollOut(name, version) => roll_out(document, name, *version),
            Self::Retire(name, None) => remove(&mut document.adapters, "adapter", name),
            Self::Retire(name, Some(version)) => retire_version(document, name, *version),
            Self::PutCaller(record) => put_caller(document, record),
            Self::RemoveCaller(name) => remove(&mut document.callers, "caller", name),
            Self::PutService(record) => {
                record.check().map_err(EditError::new)?;
                document.services.insert(record.name.clone(), record.clone());
                Ok(())
            }
            Self::RemoveService(name) => remove(&mut document.services, "service", name),
            Self::PutPreset(record) => {
                record.check().map_err(EditError::new)?;
                document.presets.insert(record.name.clone(), record.clone());
                Ok(())
            }
            Self::RemovePreset(name) => remove_preset(document, name),
            Self::SwitchPreset(name) => switch_preset(document, name),
        }
    }
}

fn remove<T>(
    records: &mut BTreeMap<Arc<str>, T>,
    kind: &str,
    name: &Arc<str>,
) -> Result<(), EditError> {
    match records.remove(name) {
        Some(_) => Ok(()),
        None => Err(EditError::missing(kind, name)),
    }
}

fn add_adapters(document: &mut ConfigDocument, records: &[AdapterRecord]) -> Result<(), EditError> {
    for record in records {
        record.check().map_err(|error| EditError(format!("adapter `{}`: {error}", record.name)))?;
        match document.adapters.get_mut(&record.name) {
            None => {
                document.adapters.insert(record.name.clone(), record.clone());
            }
            Some(known) => merge_versions(known, record)?,
        }
    }
    Ok(())
}

fn merge_versions(known: &mut AdapterRecord, added: &AdapterRecord) -> Result<(), EditError> {
    if known.base != added.base {
        return Err(EditError(format!(
            "adapter `{}`: base: it extends `{}`, not `{}`",
            known.name, known.base, added.base
        )));
    }
    known.versions.extend(&added.versions);
    known.versions.sort_unstable();
    known.versions.dedup();
    known.check().map_err(|error| EditError(format!("adapter `{}`: {error}", known.name)))
}

fn roll_out(
    document: &mut ConfigDocument,
    name: &AdapterName,
    version: AdapterVersion,
) -> Result<(), EditError> {
    let record =
        document.adapters.get_mut(name).ok_or_else(|| EditError::missing("adapter", name))?;
    if !record.versions.contains(&version) {
        return Err(EditError(format!(
            "adapter `{name}` has no version {version}; it has {:?}",
            record.versions
        )));
    }
    record.current = version;
    Ok(())
}

fn retire_version(
    document: &mut ConfigDocument,
    name: &AdapterName,
    version: AdapterVersion,
) -> Result<(), EditError> {
    let record =
        document.adapters.get_mut(name).ok_or_else(|| EditError::missing("adapter", name))?;
    if !record.versions.contains(&version) {
        return Err(EditError(format!("adapter `{name}` has no version {version}")));
    }
    if record.current == version {
        return Err(EditError(format!(
            "version {version} of `{name}` is the current one; roll out another first"
        )));
    }
    record.versions.retain(|&kept| kept != version);
    Ok(())
}

fn put_caller(document: &mut ConfigDocument, record: &CallerRecord) -> Result<(), EditError> {
    record.check().map_err(EditError::new)?;
    let duplicate = document
        .callers
        .values()
        .find(|known| known.key_sha256 == record.key_sha256 && known.name != record.name);
    if let Some(duplicate) = duplicate {
        return Err(EditError(format!("caller `{}` has the same key", duplicate.name)));
    }
    document.callers.insert(record.name.clone(), record.clone());
    Ok(())
}

fn remove_preset(document: &mut ConfigDocument, name: &PresetName) -> Result<(), EditError> {
    if document.preset == *name {
        return Err(EditError(format!("preset `{name}` is in force; switch to another first")));
    }
    remove(&mut document.presets, "preset", name)
}

fn switch_preset(document: &mut ConfigDocument, name: &PresetName) -> Result<(), EditError> {
    if !document.presets.contains_key(name) {
        let known: Vec<&str> = document.presets.keys().map(AsRef::as_ref).collect();
        return Err(EditError(format!(
            "there is no preset `{name}`; there are {}",
            known.join(", ")
        )));
    }
    document.preset = name.clone();
    Ok(())
}
