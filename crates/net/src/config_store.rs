//! The configuration on the platform: reading a revision whole, and accepting a change.

use crate::platform::{
    PlatformClient, PlatformError, PlatformResult,
    records::{ObjectRecord, PART_KIND, ROOT_KIND, ROOT_NAME},
};
use plantain_core::config::{
    ConfigDocument, ConfigEdit, ConfigPart, ConfigRoot, ConfigSnapshot, EditError, PartName,
    PartRef, PresetRecord,
    parts::{PRESETS_PART, RECENT_OPERATIONS, part_digest},
};
use rand::RngExt;
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Attempts to read back a write whose answer was lost.
const SETTLE_ATTEMPTS: u32 = 20;
/// Pause between them.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// A change that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// The root that holds it.
    pub root: ConfigRoot,
    /// Whether the platform's answer was lost and the change was found by reading back.
    pub settled: bool,
}

/// Why a change was not accepted.
#[derive(Debug)]
pub enum CommitError {
    /// The change makes no sense against the configuration.
    Invalid(EditError),
    /// Somebody else changed the configuration meanwhile; holds their root and the old one.
    RaceLost(Box<(ConfigRoot, ConfigRoot)>),
    /// The platform failed before the change was accepted.
    Platform(PlatformError),
    /// The answer was lost and reading back failed too: the change may be in force.
    Unsettled {
        /// Operation id to look for.
        operation: String,
        /// The last failure.
        error: PlatformError,
    },
}

impl fmt::Display for CommitError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => error.fmt(formatter),
            Self::RaceLost(roots) => {
                let (theirs, _) = &**roots;
                write!(
                    formatter,
                    "not changed: {} won with revision {} ({})",
                    theirs.author, theirs.revision, theirs.summary
                )
            }
            Self::Platform(error) => write!(formatter, "not changed: {error}"),
            Self::Unsettled { operation, error } => {
                write!(formatter, "operation {operation} may be in force: {error}")
            }
        }
    }
}

impl std::error::Error for CommitError {}

impl From<PlatformError> for CommitError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Reads and changes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    platform: PlatformClient,
}

impl ConfigStore {
    /// A store on the platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads the root; `None` if nobody has configured anything.
    pub async fn root(&self) -> PlatformResult<Option<ObjectRecord<ConfigRoot>>> {
        match self.platform.get(ROOT_KIND, ROOT_NAME).await {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::Missing) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the newest revision, reusing the unchanged parts of `known`.
    pub async fn snapshot(&self, known: &ConfigSnapshot) -> PlatformResult<ConfigSnapshot> {
        match self.root().await?.and_then(|object| object.value) {
            Some(root) if root.revision > known.revision() => self.complete(root, known).await,
            _ => Ok(known.clone()),
        }
    }

    /// Reads only the preset in force of a root, for processes that need no adapters.
    pub async fn preset(&self, root: &ConfigRoot) -> PlatformResult<PresetRecord> {
        let part_ref = root.parts.get(PRESETS_PART).ok_or(PlatformError::Missing)?;
        match self.part(&PRESETS_PART.to_owned(), part_ref).await? {
            ConfigPart::Presets(presets) => presets
                .into_iter()
                .find(|preset| preset.name == root.preset)
                .ok_or(PlatformError::Missing),
            _ => Err(PlatformError::Malformed("the presets' part holds no presets".into())),
        }
    }

    /// Reads the parts that a root names and `known` does not have.
    pub async fn complete(
        &self,
        root: ConfigRoot,
        known: &ConfigSnapshot,
    ) -> PlatformResult<ConfigSnapshot> {
        let mut parts = BTreeMap::new();
        for (name, part_ref) in &root.parts {
            let unchanged = known.root().parts.get(name) == Some(part_ref);
            let part = match known.part(name).filter(|_| unchanged) {
                Some(part) => Arc::clone(part),
                None => Arc::new(self.part(name, part_ref).await?),
            };
            parts.insert(name.clone(), part);
        }
        ConfigSnapshot::new(root, parts).map_err(PlatformError::Malformed)
    }

    async fn part(&self, name: &PartName, part_ref: &PartRef) -> PlatformResult<ConfigPart> {
        let object = self.platform.get(PART_KIND, &part_ref.object(name)).await?;
        object.value.ok_or(PlatformError::Missing)
    }

    /// Makes a change by one conditional update of the root.
    ///
    /// `progress` is told how many of how many parts have been written.
    pub async fn commit(
        &self,
        edits: &[ConfigEdit],
        author: &str,
        summary: &str,
        progress: impl Fn(usize, usize) + Sync,
    ) -> Result<AcceptedChange, CommitError> {
        let object = self.root().await?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let old = object.and_then(|object| object.value);
        let known = match &old {
            Some(root) => self.complete(root.clone(), &ConfigSnapshot::empty()).await?,
            None => ConfigSnapshot::empty(),
        };
        let mut document = known.to_document();
        for edit in edits {
            edit.apply(&mut document).map_err(CommitError::Invalid)?;
        }
        let old = old.unwrap_or_default();
        let root = self.write_parts(&document, &old, author, summary, progress).await?;
        let accepted = self.put_root(version, root, &old).await?;
        self.remove_parts(&old.retired).await;
        Ok(accepted)
    }

    async fn write_parts(
        &self,
        document: &ConfigDocument,
        old: &ConfigRoot,
        author: &str,
        summary: &str,
        progress: impl Fn(usize, usize) + Sync,
    ) -> PlatformResult<ConfigRoot> {
        let operation = format!("{:016x}", rand::rng().random::<u64>());
        let mut parts = BTreeMap::new();
        let mut changed = Vec::new();
        let mut retired = Vec::new();
        for (name, part) in document.to_parts() {
            let bytes = serde_json::to_vec(&part)
                .map_err(|error| PlatformError::Malformed(error.to_string()))?;
            let digest = part_digest(&bytes);
            let known = old.parts.get(&name);
            if let Some(known) = known.filter(|known| known.digest == digest) {
                parts.insert(name, known.clone());
                continue;
            }
            retired.extend(known.map(|known| known.object(&name)));
            let part_ref = PartRef { digest, operation: operation.clone() };
            changed.push((part_ref.object(&name), part));
            parts.insert(name, part_ref);
        }
        for (index, (object, part)) in changed.iter().enumerate() {
            self.write_part(object, part).await?;
            progress(index + 1, changed.len());
        }
        let mut recent = old.recent.clone();
        if !old.operation.is_empty() {
            recent.insert(0, old.operation.clone());
        }
        recent.truncate(RECENT_OPERATIONS);
        Ok(ConfigRoot {
            revision: old.revision + 1,
            operation,
            recent,
            author: author.to_owned(),
            summary: summary.to_owned(),
            preset: document.preset.clone(),
            parts,
            retired,
        })
    }

    // No other operation writes an object of this name, so finding it there means that an earlier
    // attempt took effect and only its answer was lost.
    async fn write_part(&self, object: &str, part: &ConfigPart) -> PlatformResult<()> {
        let mut last = PlatformError::Missing;
        for _ in 0..SETTLE_ATTEMPTS {
            match self.platform.put(PART_KIND, object, 0, part).await {
                Ok(_) | Err(PlatformError::Conflict(_)) => return Ok(()),
                Err(error @ (PlatformError::Unanswered(_) | PlatformError::Busy(_))) => {
                    last = error;
                    sleep(SETTLE_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }

    async fn put_root(
        &self,
        version: u64,
        root: ConfigRoot,
        old: &ConfigRoot,
    ) -> Result<AcceptedChange, CommitError> {
        match self.platform.put(ROOT_KIND, ROOT_NAME, version, &root).await {
            Ok(_) => Ok(AcceptedChange { root, settled: false }),
            Err(PlatformError::Conflict(_)) => {
                let theirs = self.root().await?.and_then(|object| object.value);
                Err(CommitError::RaceLost(Box::new((theirs.unwrap_or_default(), old.clone()))))
            }
            Err(error @ PlatformError::Unanswered(_)) => {
                self.settle(version, root, old, error).await
            }
            Err(error) => Err(CommitError::Platform(error)),
        }
    }

    /// Finds out whether a write whose answer was lost took effect. It is never repeated: the
    /// version check would refuse the second write, but reading tells more.
    async fn settle(
        &self,
        version: u64,
        root: ConfigRoot,
        old: &ConfigRoot,
        mut error: PlatformError,
    ) -> Result<AcceptedChange, CommitError> {
        for _ in 0..SETTLE_ATTEMPTS {
            match self.root().await {
                Ok(object) => {
                    let found = object.as_ref().map_or(0, |object| object.version);
                    let theirs = object.and_then(|object| object.value).unwrap_or_default();
                    if theirs.operation == root.operation || theirs.recent.contains(&root.operation)
                    {
                        return Ok(AcceptedChange { root, settled: true });
                    }
                    if found != version {
                        return Err(CommitError::RaceLost(Box::new((theirs, old.clone()))));
                    }
                    // Still at the old version: the write may be under way, so look again.
                }
                Err(failed) => error = failed,
            }
            sleep(SETTLE_PAUSE).await;
        }
        Err(CommitError::Unsettled { operation: root.operation, error })
    }

    // A part that could not be deleted only takes up room.
    async fn remove_parts(&self, retired: &[String]) {
        for object in retired {
            let _ = self.platform.delete(PART_KIND, object).await;
        }
    }
}
