//! Commands on adapters and their versions.

use super::{CommandContext, CommandError};
use crate::{
    options::AdapterCommand,
    output::{self, TableRow},
};
use plantain_core::config::{AdapterRecord, ConfigEdit};
use std::{
    collections::HashSet,
    fs,
    io::{self, Read},
    path::Path,
};

impl TableRow for AdapterRecord {
    const HEADS: &'static [&'static str] = &["ADAPTER", "BASE", "CURRENT", "VERSIONS", "REPEAT"];

    fn cells(&self) -> Vec<String> {
        let versions = self.versions.iter().map(u32::to_string).collect::<Vec<_>>().join(",");
        let retry = if self.idempotent { "yes" } else { "never" };
        vec![
            self.name.to_string(),
            self.base.to_string(),
            self.current.to_string(),
            versions,
            retry.to_owned(),
        ]
    }
}

pub(super) async fn execute(
    context: &CommandContext<'_>,
    command: AdapterCommand,
) -> Result<(), CommandError> {
    match command {
        AdapterCommand::Add { base, versions, current, non_idempotent, name } => {
            let versions = parse_versions(&versions)?;
            let highest = versions.iter().copied().max().unwrap_or_default();
            let record = AdapterRecord {
                name: name.as_str().into(),
                base: base.into(),
                current: current.unwrap_or(highest),
                versions,
                idempotent: !non_idempotent,
            };
            let summary = format!("add adapter {name}");
            context.change(ConfigEdit::AddAdapters(vec![record]), &summary).await
        }
        AdapterCommand::Import { file } => {
            let records = read_records(&file)?;
            let summary = format!("import {} adapters", records.len());
            context.change(ConfigEdit::AddAdapters(records), &summary).await
        }
        AdapterCommand::RollOut { name, version } => {
            let summary = format!("roll out {name}@{version}");
            context.change(ConfigEdit::RollOut(name.into(), version), &summary).await
        }
        AdapterCommand::Retire { version, name } => {
            let summary = match version {
                Some(version) => format!("retire {name}@{version}"),
                None => format!("retire adapter {name}"),
            };
            context.change(ConfigEdit::Retire(name.into(), version), &summary).await
        }
        AdapterCommand::List { prefix } => {
            let document = context.snapshot().await?.to_document();
            let records: Vec<AdapterRecord> = document
                .adapters
                .into_values()
                .filter(|record| record.name.starts_with(&prefix))
                .collect();
            output::print_rows(&records, context.settings.json);
            Ok(())
        }
    }
}

fn parse_versions(text: &str) -> Result<Vec<u32>, CommandError> {
    let parse = |part: &str| {
        part.trim().parse().map_err(|_| {
            CommandError::Invalid(format!("--versions: `{part}` is not a whole number"))
        })
    };
    let mut versions = text.split(',').map(parse).collect::<Result<Vec<u32>, _>>()?;
    versions.sort_unstable();
    versions.dedup();
    Ok(versions)
}

/// Reads and validates all lines, so that nothing is written if one is invalid; the error names the line and the field.
fn read_records(file: &Path) -> Result<Vec<AdapterRecord>, CommandError> {
    let text = read_text(file)?;
    let mut names = HashSet::new();
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let position = format!("{} line {}", file.display(), index + 1);
        let record: AdapterRecord = serde_json::from_str(line)
            .map_err(|error| CommandError::Invalid(format!("{position}: {error}")))?;
        record.check().map_err(|error| CommandError::Invalid(format!("{position}: {error}")))?;
        if !names.insert(record.name.clone()) {
            let message = format!("{position}: name: adapter `{}` is listed twice", record.name);
            return Err(CommandError::Invalid(message));
        }
        records.push(record);
    }
    if records.is_empty() {
        return Err(CommandError::Invalid(format!("{}: no adapters", file.display())));
    }
    Ok(records)
}

/// Reads a file, or standard input if `file` is `-`.
pub(super) fn read_text(file: &Path) -> Result<String, CommandError> {
    let mut text = String::new();
    let result = if file == Path::new("-") {
        io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        fs::read_to_string(file).map(|read| text = read)
    };
    match result {
        Ok(()) => Ok(text),
        Err(error) => Err(CommandError::Invalid(format!("read {}: {error}", file.display()))),
    }
}
