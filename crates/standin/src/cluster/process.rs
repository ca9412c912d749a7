//! Processes of a system on loopback: started, signalled by id, and ended with their owner.

use super::TEST_KEY;
use eyre::{Result, WrapErr, ensure, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    env, fs,
    fs::File,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};
use tokio::{
    process::{Child, Command},
    time::timeout,
};

/// Longest wait for a process to stop in order.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// A folder for the logs of one system, removed with it unless `PLANTAIN_KEEP_LOGS` is set.
pub struct ClusterDirectory(PathBuf);

impl ClusterDirectory {
    /// Makes a new folder.
    pub fn new() -> Result<Self> {
        let name = format!("plantain-{}-{:08x}", std::process::id(), rand::random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).wrap_err_with(|| format!("make {}", path.display()))?;
        Ok(Self(path))
    }

    /// The folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ClusterDirectory {
    fn drop(&mut self) {
        if env::var_os("PLANTAIN_KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A process that dies with its handle.
pub struct ManagedProcess {
    name: String,
    child: Child,
}

impl ManagedProcess {
    /// Starts a program of this workspace; its output goes to a file in the folder.
    pub fn start(
        directory: &ClusterDirectory,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<Self> {
        let log = directory.path().join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log);
        let output = output.wrap_err_with(|| format!("open {}", log.display()))?;
        let errors = output.try_clone().wrap_err("share log file")?;
        let child = Command::new(binary(program)?)
            .args(arguments)
            .env("PLANTAIN_PEER_KEY", TEST_KEY)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("start {name}"))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// The process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether the process has ended, however.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
        kill(Pid::from_raw(id.cast_signed()), signal)
            .wrap_err_with(|| format!("signal {}", self.name))
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) -> Result<()> {
        self.child.kill().await.wrap_err_with(|| format!("kill {}", self.name))
    }

    /// Asks the process to stop and waits for it; true if it ended with status 0.
    pub async fn stop(mut self) -> Result<bool> {
        if self.id().is_some() {
            self.signal(Signal::SIGTERM)?;
            // A frozen process takes no other signal.
            self.signal(Signal::SIGCONT)?;
        }
        let ended = timeout(STOP_LIMIT, self.child.wait()).await;
        let status = ended.wrap_err_with(|| format!("{} does not stop", self.name))?;
        Ok(status.wrap_err("wait for process")?.success())
    }
}

/// Path of a program of this workspace, beside the running one.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().wrap_err("find own program")?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    let found = found.ok_or_else(|| eyre!("{name} is not built; run `cargo build --workspace`"))?;
    ensure!(found.is_file(), "{} is no file", found.display());
    Ok(found)
}
