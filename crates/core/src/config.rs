//! Configuration: records that operators write, the parts that store them, and an indexed snapshot.
//!
//! The platform holds one small root object. It names the digest of every part and the preset in
//! force, so that one conditional update of the root applies any change atomically.

pub mod diff;
pub mod document;
pub mod edit;
pub mod parts;
pub mod records;
pub mod snapshot;

pub use document::ConfigDocument;
pub use edit::{ConfigEdit, EditError};
pub use parts::{ConfigPart, ConfigRoot, PartDigest, PartName, PartRef};
pub use records::{AdapterRecord, CallerRecord, PresetRecord, RouteRecord, ServiceRecord};
pub use snapshot::{ConfigSnapshot, ResolveError};
