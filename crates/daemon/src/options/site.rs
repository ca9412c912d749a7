//! Settings of routers and loaders: one JSON file, read at the start and whenever it changes.

use super::arguments::SiteArguments;
use eyre::{Result, WrapErr, ensure};
use plantain_core::{
    direct::{budget::RetryAllowance, limits::terms::LimitTerms},
    ids::{RegionName, ZoneName},
};
use serde::{Deserialize, Serialize};
use slog::Level;
use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

/// Longest time of a settings file, in seconds: no bound of a site needs more than a day, and sums and multiples of
/// times up to this one cannot overflow.
const LONGEST_TIME_S: f64 = 86_400.0;

/// Memory of a router whose settings name none, in MB: that of the smallest hosts.
const DEFAULT_MEMORY_MB: f64 = 120.0;
/// Least and largest memory that can be set, in MB. The program alone takes up to about half of the least.
const MEMORY_RANGE_MB: (f64, f64) = (32.0, 1e6);

/// Limits set by the site's operators: drain and stop times, retries, and how closely customers' limits
/// are enforced.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SiteBounds {
    /// Milliseconds from the start of a target's drain to the last call that may reach it.
    pub drain_ms: u64,
    /// Seconds from a stop signal until the process is killed.
    pub stop_s: f64,
    /// Retries allowed per call, as a ratio over the whole fleet.
    pub repeat_ratio: f64,
    /// Window, in seconds, in which retries are counted.
    pub repeat_window_s: f64,
    /// Retries allowed per window in addition to the ratio, over the whole fleet.
    pub repeat_slack: f64,
    /// How closely customers' limits are enforced.
    #[serde(default)]
    pub limits: LimitBounds,
}

/// How closely customers' limits are enforced.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitBounds {
    /// Window, in seconds, in which usage is counted.
    pub window_s: f64,
    /// Fraction of a limit by which the whole fleet may exceed it per window.
    pub overage: f64,
    /// Units that the whole fleet may use per window in addition to `overage`.
    pub slack: f64,
}

impl Default for LimitBounds {
    fn default() -> Self {
        Self { window_s: 10.0, overage: 0.1, slack: 0.0 }
    }
}

impl LimitBounds {
    /// The terms by which limits are enforced.
    pub fn terms(&self) -> LimitTerms {
        LimitTerms {
            window: Duration::from_secs_f64(self.window_s),
            overage: self.overage,
            slack: self.slack,
        }
    }

    fn check(&self) -> Result<()> {
        check_seconds("bounds.limits.window_s", self.window_s)?;
        ensure!(self.overage >= 0.0, "bounds.limits.overage must not be negative");
        ensure!(self.slack >= 0.0, "bounds.limits.slack must not be negative");
        Ok(())
    }
}

impl SiteBounds {
    /// Retries that the fleet may make.
    pub fn allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_secs_f64(self.repeat_window_s),
        }
    }

    /// Time from a stop signal until the process is killed.
    pub fn stop_time(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }

    fn check(&self) -> Result<()> {
        check_seconds("bounds.stop_s", self.stop_s)?;
        check_seconds("bounds.repeat_window_s", self.repeat_window_s)?;
        let drain_s = Duration::from_millis(self.drain_ms).as_secs_f64();
        ensure!(
            drain_s <= LONGEST_TIME_S,
            "bounds.drain_ms must be at most a day, not {}",
            self.drain_ms
        );
        ensure!(self.repeat_ratio >= 0.0, "bounds.repeat_ratio must not be negative");
        ensure!(self.repeat_slack >= 0.0, "bounds.repeat_slack must not be negative");
        self.limits.check()
    }
}

/// Checks that a setting in seconds is above 0 and at most a day.
fn check_seconds(name: &str, seconds: f64) -> Result<()> {
    ensure!(
        seconds > 0.0 && seconds <= LONGEST_TIME_S,
        "{name} must be above 0 and at most a day, not {seconds}"
    );
    Ok(())
}

/// Settings of a router. Unknown fields are ignored, so that a file may be written for a later version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterFile {
    /// Name of this process.
    pub name: Arc<str>,
    /// Region of this host.
    pub region: Arc<str>,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Availability zones with their regions.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address for other routers.
    pub peer_listen: SocketAddr,
    /// Addresses of other routers; some of them may no longer exist.
    pub peers: Vec<SocketAddr>,
    /// Port of loaders, and of this router's link to them; the same on all hosts.
    pub link_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory that the process may take, in MB. Read at the start only.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// Limits set by the operators.
    pub bounds: SiteBounds,
}

fn default_memory() -> f64 {
    DEFAULT_MEMORY_MB
}

impl RouterFile {
    /// Memory that the process may take, in bytes.
    pub fn memory(&self) -> usize {
        (self.memory_mb * 1e6) as usize
    }
}

/// Settings of a loader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoaderFile {
    /// Name of this process, and of its host.
    pub name: Arc<str>,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// This host's address.
    pub host: IpAddr,
    /// Port for routers; the same on all hosts.
    pub link_port: u16,
    /// Address of the engine beside this process.
    pub engine: SocketAddr,
    /// Limits set by the operators.
    pub bounds: SiteBounds,
}

/// A settings file whose values are checked after it is decoded.
pub trait SiteFile: for<'a> Deserialize<'a> {
    /// Returns an error that names the first invalid value.
    fn check(&self) -> Result<()>;

    /// Reads, decodes and checks a file. The error names the file.
    fn read(path: &Path) -> Result<Self> {
        let text = fs::read(path).wrap_err_with(|| format!("read settings {}", path.display()))?;
        let settings: Self = serde_json::from_slice(&text)
            .wrap_err_with(|| format!("decode settings {}", path.display()))?;
        settings.check().wrap_err_with(|| format!("check settings {}", path.display()))?;
        Ok(settings)
    }
}

impl SiteFile for RouterFile {
    fn check(&self) -> Result<()> {
        ensure!(self.listen != self.ready, "listen and ready are both {}", self.listen);
        let (least, most) = MEMORY_RANGE_MB;
        ensure!(
            (least..=most).contains(&self.memory_mb),
            "memory_mb must be from {least} to {most}, not {}",
            self.memory_mb
        );
        self.bounds.check()
    }
}

impl SiteFile for LoaderFile {
    fn check(&self) -> Result<()> {
        self.bounds.check()
    }
}

/// Settings of a router or loader.
#[derive(Clone, Debug)]
pub struct SiteSettings<T> {
    /// Content of the file at the start.
    pub file: Arc<T>,
    /// Path of the file, which may change while the process runs.
    pub path: PathBuf,
    /// Address of the admin server.
    pub metrics: SocketAddr,
    /// Least important log lines to write.
    pub log_level: Level,
}

impl<T: SiteFile> SiteSettings<T> {
    /// Reads and checks the file. The error names the file and the fault.
    pub fn new(arguments: SiteArguments) -> Result<Self, String> {
        let level = &arguments.log_level;
        let log_level =
            level.parse().map_err(|()| format!("--log-level: `{level}` is not known"))?;
        let file = T::read(&arguments.settings).map_err(|error| format!("{error:#}"))?;
        let SiteArguments { settings: path, metrics, .. } = arguments;
        Ok(Self { file: Arc::new(file), path, metrics, log_level })
    }
}
