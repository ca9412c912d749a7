//! Command-line arguments, and the checked settings made from them.

pub mod arguments;
pub mod constants;
pub mod settings;
pub mod site;

pub use arguments::DaemonArguments;
pub use settings::{AgentSettings, CommonSettings, DaemonSettings, EntrySettings};
