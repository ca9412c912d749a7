//! Child processes of a test cluster, which are signalled by process id, and the directory of their
//! logs.

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

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);

/// Temporary directory for the logs of a cluster. It is removed on drop unless
/// `PLANTAIN_KEEP_LOGS` is set.
pub struct ClusterDirectory(PathBuf);

impl ClusterDirectory {
    /// Creates a directory with a random name.
    pub fn new() -> Result<Self> {
        let name = format!("plantain-{}-{:08x}", std::process::id(), rand::random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).wrap_err_with(|| format!("make {}", path.display()))?;
        Ok(Self(path))
    }

    /// Path of the directory.
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

/// A child process that is killed when its handle is dropped.
pub struct ManagedProcess {
    name: String,
    child: Child,
}

impl ManagedProcess {
    /// Starts a program of this workspace with `TEST_KEY` as its peer key. Its output is appended
    /// to `<name>.log` in the directory.
    pub fn start(
        directory: &ClusterDirectory,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<Self> {
        Self::start_with(directory, name, program, arguments, &[])
    }

    /// As [`Self::start`], with further environment variables.
    pub fn start_with(
        directory: &ClusterDirectory,
        name: &str,
        program: &str,
        arguments: &[String],
        environment: &[(&str, &str)],
    ) -> Result<Self> {
        let log = directory.path().join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log);
        let output = output.wrap_err_with(|| format!("open {}", log.display()))?;
        let errors = output.try_clone().wrap_err("share log file")?;
        let child = Command::new(binary(program)?)
            .args(arguments)
            .env("PLANTAIN_PEER_KEY", TEST_KEY)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("start {name}"))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Process id, or `None` once the end of the process has been observed.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether the process has ended for any reason.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal; fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
        kill(Pid::from_raw(id.cast_signed()), signal)
            .wrap_err_with(|| format!("signal {}", self.name))
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub async fn kill(mut self) -> Result<()> {
        self.child.kill().await.wrap_err_with(|| format!("kill {}", self.name))
    }

    /// Sends SIGTERM and waits for the process to end; true if its exit status is 0.
    pub async fn stop(mut self) -> Result<bool> {
        if self.id().is_some() {
            self.signal(Signal::SIGTERM)?;
            // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            self.signal(Signal::SIGCONT)?;
        }
        let ended = timeout(STOP_TIMEOUT, self.child.wait()).await;
        let status = ended.wrap_err_with(|| format!("{} does not stop", self.name))?;
        Ok(status.wrap_err("wait for process")?.success())
    }
}

/// Path of a program of this workspace, searched in the directory of the running program and in the
/// one above it.
pub fn binary(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().wrap_err("find own program")?;
    let directories = own.ancestors().skip(1).take(2);
    let found = directories.map(|directory| directory.join(name)).find(|path| path.is_file());
    let found = found.ok_or_else(|| eyre!("{name} is not built; run `cargo build --workspace`"))?;
    ensure!(found.is_file(), "{} is not a file", found.display());
    Ok(found)
}
