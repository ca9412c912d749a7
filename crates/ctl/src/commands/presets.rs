//! Commands on presets.

use super::{CommandContext, CommandError};
use crate::{
    options::{PresetCommand, arguments::PresetFields},
    output::{self, TableRow},
};
use plantain_core::{
    config::{ConfigEdit, PresetRecord},
    priority::Priority,
};
use serde::Serialize;

/// A preset, and whether it is in force.
#[derive(Serialize)]
struct PresetRow {
    #[serde(flatten)]
    preset: PresetRecord,
    in_force: bool,
}

impl TableRow for PresetRow {
    const HEADS: &'static [&'static str] =
        &["PRESET", "IN FORCE", "STALL", "BATCH", "QUEUE", "DEADLINE MS", "RETRIES", "ADMITS"];

    fn cells(&self) -> Vec<String> {
        let preset = &self.preset;
        vec![
            preset.name.to_string(),
            if self.in_force { "yes" } else { "" }.to_owned(),
            preset.stall_weight.to_string(),
            preset.batch_weight.to_string(),
            preset.queue_limit.to_string(),
            preset.deadline_ms.to_string(),
            preset.retry_ratio.to_string(),
            format!("{} and above", preset.lowest_priority.name()),
        ]
    }
}

pub(super) async fn execute(
    context: &CommandContext<'_>,
    command: PresetCommand,
) -> Result<(), CommandError> {
    match command {
        PresetCommand::Put(fields) => {
            let known = context.snapshot().await?.to_document().presets;
            let known = known.get(fields.name.as_str()).cloned();
            let record = merge(known, &fields)?;
            let summary = format!("put preset {}", fields.name);
            context.change(ConfigEdit::PutPreset(record), &summary).await
        }
        PresetCommand::Remove { name } => {
            let summary = format!("remove preset {name}");
            context.change(ConfigEdit::RemovePreset(name.into()), &summary).await
        }
        PresetCommand::Switch { name } => {
            let summary = format!("switch to preset {name}");
            context.change(ConfigEdit::SwitchPreset(name.into()), &summary).await
        }
        PresetCommand::Show { name } => show(context, Some(&name)).await,
        PresetCommand::List => show(context, None).await,
    }
}

async fn show(context: &CommandContext<'_>, name: Option<&str>) -> Result<(), CommandError> {
    let document = context.snapshot().await?.to_document();
    let in_force = document.preset;
    let wanted = document.presets.into_values().filter(|p| name.is_none_or(|n| n == &*p.name));
    let rows: Vec<PresetRow> =
        wanted.map(|preset| PresetRow { in_force: preset.name == in_force, preset }).collect();
    if let Some(name) = name.filter(|_| rows.is_empty()) {
        return Err(CommandError::Invalid(format!("there is no preset `{name}`")));
    }
    output::print_rows(&rows, context.settings.json);
    Ok(())
}

fn merge(known: Option<PresetRecord>, fields: &PresetFields) -> Result<PresetRecord, CommandError> {
    let mut record = known.unwrap_or_else(|| PresetRecord::new(fields.name.as_str()));
    record.stall_weight = fields.stall_weight.unwrap_or(record.stall_weight);
    record.batch_weight = fields.batch_weight.unwrap_or(record.batch_weight);
    record.queue_limit = fields.queue_limit.unwrap_or(record.queue_limit);
    record.deadline_ms = fields.deadline_ms.unwrap_or(record.deadline_ms);
    record.retry_ratio = fields.retry_ratio.unwrap_or(record.retry_ratio);
    let objectives = &mut record.objectives;
    objectives.availability = fields.availability.unwrap_or(objectives.availability);
    objectives.first_byte_ms = fields.first_byte_ms.unwrap_or(objectives.first_byte_ms);
    objectives.load_stall_ms = fields.load_stall_ms.unwrap_or(objectives.load_stall_ms);
    if let Some(priority) = &fields.lowest_priority {
        record.lowest_priority = Priority::parse(priority)
            .map_err(|error| CommandError::Invalid(format!("--lowest-priority: {error}")))?;
    }
    Ok(record)
}
