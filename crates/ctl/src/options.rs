//! Arguments, and the checked settings made from them.

pub mod arguments;

pub use arguments::{
    AdapterCommand, CallerCommand, ControlArguments, ControlCommand, PresetCommand, ServiceCommand,
};

use std::{net::SocketAddr, time::Duration};

/// Checked settings of every command.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The platform's address, where the command needs it.
    pub platform: Option<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
    /// Who makes a change.
    pub author: String,
    /// How long to wait until a change is in force everywhere.
    pub wait: Option<Duration>,
}

impl ControlSettings {
    /// Checks arguments; the error names the flag.
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
