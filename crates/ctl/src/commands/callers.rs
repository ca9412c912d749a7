//! Commands on callers and their keys.

use super::{CommandContext, CommandError, adapters::read_text};
use crate::{
    options::CallerCommand,
    output::{self, TableRow},
};
use plantain_core::{
    config::{CallerRecord, ConfigEdit},
    priority::Priority,
};
use sha2::{Digest, Sha256};

/// Minimum length of a key, in bytes.
const MIN_KEY_LENGTH: usize = 16;

impl TableRow for CallerRecord {
    const HEADS: &'static [&'static str] = &["CALLER", "SHARE", "HIGHEST PRIORITY"];

    fn cells(&self) -> Vec<String> {
        vec![self.name.to_string(), self.share.to_string(), self.highest_priority.name().to_owned()]
    }
}

pub(super) async fn execute(
    context: &CommandContext<'_>,
    command: CallerCommand,
) -> Result<(), CommandError> {
    match command {
        CallerCommand::Put { key_file, share, highest_priority, name } => {
            let text = read_text(&key_file)?;
            let key = text.trim();
            if key.len() < MIN_KEY_LENGTH {
                let message = format!("--key-file: a key needs at least {MIN_KEY_LENGTH} bytes");
                return Err(CommandError::Invalid(message));
            }
            let highest_priority = Priority::parse(&highest_priority)
                .map_err(|error| CommandError::Invalid(format!("--highest-priority: {error}")))?;
            let record = CallerRecord {
                name: name.as_str().into(),
                key_sha256: hex::encode(Sha256::digest(key.as_bytes())),
                share,
                highest_priority,
            };
            let summary = format!("put caller {name}");
            context.change(ConfigEdit::PutCaller(record), &summary).await
        }
        CallerCommand::Remove { name } => {
            let summary = format!("remove caller {name}");
            context.change(ConfigEdit::RemoveCaller(name.into()), &summary).await
        }
        CallerCommand::List => {
            let callers = context.snapshot().await?.callers().to_vec();
            output::print_rows(&callers, context.settings.json);
            Ok(())
        }
    }
}
