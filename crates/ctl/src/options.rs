//! Command-line arguments, and the validated settings built from them.

pub mod arguments;

pub use arguments::{
    AdapterCommand, CallerCommand, ControlArguments, ControlCommand, PresetCommand, ServiceCommand,
};

use std::{net::SocketAddr, time::Duration};

/// Validated settings of all commands.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Address of the platform's object API; `None` only for commands that do not use it.
    pub platform: Option<SocketAddr>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// Name recorded with a change.
    pub author: String,
    /// Time limit for waiting until a change is in force everywhere; `None` does not wait.
    pub wait: Option<Duration>,
}

impl ControlSettings {
    /// Validates arguments; the error names the flag.
    pub fn new(arguments: &ControlArguments) -> Result<Self, String> {
        let author = arguments.author.trim();
        if author.is_empty() || author.chars().any(char::is_control) {
            return Err("--author: expected a name without control characters".into());
        }
        let needs_platform = !matches!(
            arguments.command,
            ControlCommand::Losses { .. } | ControlCommand::Customers { .. }
        );
        if needs_platform && arguments.platform.is_none() {
            return Err("--platform: expected the address of the platform's object API".into());
        }
        let wait = match arguments.wait {
            Some(seconds) if !(seconds > 0.0 && seconds <= 3_600.0) => {
                return Err("--wait: expected seconds from above 0 to 3600".into());
            }
            seconds => seconds.map(Duration::from_secs_f64),
        };
        Ok(Self {
            platform: arguments.platform,
            json: arguments.json,
            author: author.to_owned(),
            wait,
        })
    }
}
