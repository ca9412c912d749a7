//! Implementation of the commands.

pub mod adapters;
pub mod callers;
pub mod customers;
pub mod losses;
pub mod presets;
pub mod report;
pub mod services;
pub mod status;

use crate::{
    options::{ControlCommand, ControlSettings},
    output,
};
use indicatif::ProgressBar;
use plantain_core::config::{
    ConfigDocument, ConfigEdit, ConfigRoot, ConfigSnapshot, diff::describe_changes,
};
use plantain_net::{
    client::HttpClient,
    config_store::{AcceptedChange, CommitError, ConfigStore},
    platform::{PlatformClient, PlatformError},
};
use serde_json::json;
use std::{
    fmt::{self, Write},
    io::IsTerminal,
};

/// Maximum number of differences that the error about a concurrent change lists.
const SHOWN_CHANGES: usize = 10;

/// Why a command failed; each kind has its own exit status.
#[derive(Debug)]
pub enum CommandError {
    /// The input or the change is not valid.
    Invalid(String),
    /// A concurrent change was made first; this one was not made.
    RaceLost(String),
    /// The change was made, but some processes do not have it yet.
    Behind(String),
    /// The platform, a process or a file failed.
    Failed(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Invalid(text) | Self::RaceLost(text) | Self::Behind(text) | Self::Failed(text)) =
            self;
        formatter.write_str(text)
    }
}

impl From<PlatformError> for CommandError {
    fn from(error: PlatformError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Settings and clients shared by the commands that use the platform.
pub struct CommandContext<'a> {
    /// Validated settings of the command line.
    pub settings: &'a ControlSettings,
    /// Client of the platform's object API.
    pub platform: PlatformClient,
    /// Reads and changes the configuration.
    pub store: ConfigStore,
    /// Client for the processes' admin pages.
    pub http: HttpClient,
}

/// Runs one command.
pub async fn execute(
    settings: &ControlSettings,
    command: ControlCommand,
) -> Result<(), CommandError> {
    match &command {
        ControlCommand::Losses { files } => return losses::execute(files, settings.json),
        ControlCommand::Customers { routers } => {
            return customers::execute(routers, settings.json).await;
        }
        _ => {}
    }
    let Some(platform) = settings.platform else {
        return Err(CommandError::Invalid("--platform: required by this command".into()));
    };
    let http = HttpClient::new();
    let platform = PlatformClient::new(platform, http.clone());
    let store = ConfigStore::new(platform.clone());
    let context = CommandContext { settings, platform, store, http };
    match command {
        ControlCommand::Adapter(command) => adapters::execute(&context, command).await,
        ControlCommand::Caller(command) => callers::execute(&context, command).await,
        ControlCommand::Service(command) => services::execute(&context, command).await,
        ControlCommand::Preset(command) => presets::execute(&context, command).await,
        ControlCommand::Report { html } => report::execute(&context, html.as_deref()).await,
        ControlCommand::Losses { files } => losses::execute(&files, settings.json),
        ControlCommand::Customers { routers } => customers::execute(&routers, settings.json).await,
        ControlCommand::Status => status::execute(&context).await,
    }
}

impl CommandContext<'_> {
    /// Reads the configuration in force.
    pub async fn snapshot(&self) -> Result<ConfigSnapshot, CommandError> {
        Ok(self.store.snapshot(&ConfigSnapshot::empty()).await?)
    }

    /// Makes a change, prints its revision, and waits until it is in force everywhere if `--wait` is set.
    pub async fn change(&self, edit: ConfigEdit, summary: &str) -> Result<(), CommandError> {
        let bar = progress_bar();
        let progress = |done: usize, all: usize| {
            bar.set_length(all as u64);
            bar.set_position(done as u64);
        };
        let result = self.store.commit(&[edit], &self.settings.author, summary, progress).await;
        bar.finish_and_clear();
        match result {
            Ok(change) => {
                self.print_change(&change, summary);
                self.wait(change.root.revision).await
            }
            Err(CommitError::Invalid(error)) => Err(CommandError::Invalid(error.to_string())),
            Err(CommitError::RaceLost(roots)) => {
                let (theirs, old) = *roots;
                Err(CommandError::RaceLost(self.explain_race(theirs, old).await))
            }
            Err(error) => Err(CommandError::Failed(error.to_string())),
        }
    }

    fn print_change(&self, change: &AcceptedChange, summary: &str) {
        let root = &change.root;
        if self.settings.json {
            output::print_json(&json!({
                "revision": root.revision, "operation": root.operation, "preset": root.preset,
                "summary": summary, "settled": change.was_read_back,
            }));
            return;
        }
        println!("revision {}: {summary}", root.revision);
        if change.was_read_back {
            println!("the platform's answer was lost; reading back confirmed the change");
        }
    }

    async fn wait(&self, revision: u64) -> Result<(), CommandError> {
        match self.settings.wait {
            None => Ok(()),
            Some(limit) => status::wait_in_force(self, revision, limit).await,
        }
    }

    /// Describes the concurrent change that won a race: its author, revision and differences.
    async fn explain_race(&self, theirs: ConfigRoot, old: ConfigRoot) -> String {
        let mut text = format!(
            "not changed: {} made revision {} first ({}); check its changes and try again",
            theirs.author, theirs.revision, theirs.summary
        );
        let documents = (self.document(old).await, self.document(theirs).await);
        if let (Some(old), Some(new)) = documents {
            let lines = describe_changes(&old, &new);
            for line in lines.iter().take(SHOWN_CHANGES) {
                let _ = write!(text, "\n  {line}");
            }
            if lines.len() > SHOWN_CHANGES {
                let _ = write!(text, "\n  and {} more", lines.len() - SHOWN_CHANGES);
            }
        }
        text
    }

    async fn document(&self, root: ConfigRoot) -> Option<ConfigDocument> {
        if root.revision == 0 {
            return Some(ConfigDocument::default());
        }
        let snapshot = self.store.complete(root, &ConfigSnapshot::empty()).await;
        snapshot.ok().map(|snapshot| snapshot.to_document())
    }
}

fn progress_bar() -> ProgressBar {
    if std::io::stderr().is_terminal() { ProgressBar::new(0) } else { ProgressBar::hidden() }
}
