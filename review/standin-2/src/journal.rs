//! The record of a case: one line for each thing that was sent, answered or run.

use std::{
    collections::HashSet,
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Handle of the record; clones write to the same file.
#[derive(Clone)]
pub struct Journal {
    file: Arc<Mutex<File>>,
    began: Duration,
    /// Attempts that a replica of this process has begun to run.
    runs: Arc<Mutex<HashSet<String>>>,
}

fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Journal {
    /// Starts an empty record.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, began: wall_time(), runs: Arc::default() })
    }

    /// Continues the record of another process, whose times began at `began_ms`.
    pub fn append(path: &Path, began_ms: u64) -> io::Result<Self> {
        let file = OpenOptions::new().append(true).open(path)?;
        let (file, began) = (Arc::new(Mutex::new(file)), Duration::from_millis(began_ms));
        Ok(Self { file, began, runs: Arc::default() })
    }

    /// When the record began, for [`Self::append`].
    pub fn began_ms(&self) -> u64 {
        self.began.as_millis() as u64
    }

    /// Records that a replica of this process begins to run a request.
    pub fn note_run(&self, attempt: &str) {
        self.runs.lock().unwrap().insert(attempt.to_owned());
    }

    /// Whether a replica of this process has begun to run a request.
    pub fn has_run(&self, attempt: &str) -> bool {
        self.runs.lock().unwrap().contains(attempt)
    }

    /// Writes a line with the time since the record began.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = wall_time().saturating_sub(self.began).as_millis();
        let line = format!("{at:>7} ms  {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
