//! The configuration on the platform: a root object that names immutable parts. A change writes the changed
//! parts first and takes effect by one conditional update of the root.

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

/// Maximum attempts to read back a root whose write got no answer, and maximum attempts to write a part.
const READ_BACK_ATTEMPTS: u32 = 20;
/// Pause between two attempts to read back a root or to write a part.
const READ_BACK_PAUSE: Duration = Duration::from_millis(250);

/// A change that is in force.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Root of the revision that contains the change.
    pub root: ConfigRoot,
    /// Whether the platform's answer was lost and the change was confirmed by reading the root back.
    pub was_read_back: bool,
}

/// Why a change was not made, or could not be confirmed.
#[derive(Debug)]
pub enum CommitError {
    /// The change is not valid for the current configuration.
    Invalid(EditError),
    /// A concurrent change was made first; holds its root and the root before it.
    RaceLost(Box<(ConfigRoot, ConfigRoot)>),
    /// A platform call failed before the root was written; the change is not in force.
    Platform(PlatformError),
    /// The root's write got no answer, and reading back did not show its outcome: the change may be in force.
    Unconfirmed {
        /// Operation id that the root names if the change is in force.
        operation: String,
        /// Failure of the write or of the last read.
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
                    "not changed: {} made revision {} first ({})",
                    theirs.author, theirs.revision, theirs.summary
                )
            }
            Self::Platform(error) => write!(formatter, "not changed: {error}"),
            Self::Unconfirmed { operation, error } => {
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
    /// Creates a store that uses this platform client.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads the root; `None` if there is no configuration yet.
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
            Some(root) if root.replaces(known.root()) => self.complete(root, known).await,
            _ => Ok(known.clone()),
        }
    }

    /// Reads only the preset that a root puts in force, for processes that do not need the adapters.
    pub async fn preset(&self, root: &ConfigRoot) -> PlatformResult<PresetRecord> {
        let part_ref = root.parts.get(PRESETS_PART).ok_or(PlatformError::Missing)?;
        match self.part(&PRESETS_PART.to_owned(), part_ref).await? {
            ConfigPart::Presets(presets) => presets
                .into_iter()
                .find(|preset| preset.name == root.preset)
                .ok_or(PlatformError::Missing),
            _ => Err(PlatformError::Malformed("the part of the presets has another type".into())),
        }
    }

    /// Builds the snapshot of a root: reuses the parts that `known` already has and reads the others.
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

    /// Applies `edits` to the current configuration and puts the result in force by one conditional update of
    /// the root.
    ///
    /// `progress` is called after each written part with the number written and the total.
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

    // No other operation writes an object of this name, so a conflict means that an earlier attempt took
    // effect and only its answer was lost.
    async fn write_part(&self, object: &str, part: &ConfigPart) -> PlatformResult<()> {
        let mut last = PlatformError::Missing;
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.platform.put(PART_KIND, object, 0, part).await {
                Ok(_) | Err(PlatformError::Conflict(_)) => return Ok(()),
                Err(error @ (PlatformError::Unanswered(_) | PlatformError::Busy(_))) => {
                    last = error;
                    sleep(READ_BACK_PAUSE).await;
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
            Ok(_) => Ok(AcceptedChange { root, was_read_back: false }),
            Err(PlatformError::Conflict(_)) => {
                let theirs = self.root().await?.and_then(|object| object.value);
                Err(CommitError::RaceLost(Box::new((theirs.unwrap_or_default(), old.clone()))))
            }
            Err(error @ PlatformError::Unanswered(_)) => {
                self.read_back(version, root, old, error).await
            }
            Err(error) => Err(CommitError::Platform(error)),
        }
    }

    /// Reads the root until it shows whether a write whose answer was lost took effect. The write itself is not
    /// retried: the version check would refuse a second one, and a read also shows which change was made instead.
    async fn read_back(
        &self,
        version: u64,
        root: ConfigRoot,
        old: &ConfigRoot,
        mut error: PlatformError,
    ) -> Result<AcceptedChange, CommitError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.root().await {
                Ok(object) => {
                    let found = object.as_ref().map_or(0, |object| object.version);
                    let theirs = object.and_then(|object| object.value).unwrap_or_default();
                    if theirs.operation == root.operation || theirs.recent.contains(&root.operation)
                    {
                        return Ok(AcceptedChange { root, was_read_back: true });
                    }
                    if found != version {
                        return Err(CommitError::RaceLost(Box::new((theirs, old.clone()))));
                    }
                    // Still at the old version: the write may be in flight, so read again.
                }
                Err(failed) => error = failed,
            }
            sleep(READ_BACK_PAUSE).await;
        }
        Err(CommitError::Unconfirmed { operation: root.operation, error })
    }

    // A failed delete is ignored: the part is unused and only takes up space.
    async fn remove_parts(&self, retired: &[String]) {
        for object in retired {
            let _ = self.platform.delete(PART_KIND, object).await;
        }
    }
}
