//! Settings of routers and loaders: one JSON file, read at the start and again when it changes.

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

/// What a site's operators bound; all rates and spans are theirs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SiteBounds {
    /// Milliseconds from a target's leaving to the last call that may reach it.
    pub drain_ms: u64,
    /// Seconds from a stop signal to the kill.
    pub stop_s: f64,
    /// Repeats for each call, over the whole fleet.
    pub repeat_ratio: f64,
    /// Seconds over which repeats are counted.
    pub repeat_window_s: f64,
    /// Repeats in a window beyond the ratio, over the whole fleet.
    pub repeat_slack: f64,
    /// How customers' limits are judged.
    #[serde(default)]
    pub limits: LimitBounds,
}

/// How customers' limits are judged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitBounds {
    /// Seconds over which use is counted.
    pub window_s: f64,
    /// Part of a limit by which the whole fleet may exceed it in a window.
    pub overage: f64,
    /// Units beyond that, over the whole fleet.
    pub slack: f64,
}

impl Default for LimitBounds {
    fn default() -> Self {
        Self { window_s: 10.0, overage: 0.1, slack: 0.0 }
    }
}

impl LimitBounds {
    /// What limits are judged by.
    pub fn terms(&self) -> LimitTerms {
        LimitTerms {
            window: Duration::from_secs_f64(self.window_s),
            overage: self.overage,
            slack: self.slack,
        }
    }

    fn check(&self) -> Result<()> {
        ensure!(
            self.window_s > 0.0 && self.window_s.is_finite(),
            "bounds.limits.window_s must be above 0, not {}",
            self.window_s
        );
        ensure!(self.overage >= 0.0, "bounds.limits.overage must not be negative");
        ensure!(self.slack >= 0.0, "bounds.limits.slack must not be negative");
        Ok(())
    }
}

impl SiteBounds {
    /// What the fleet may repeat.
    pub fn allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_secs_f64(self.repeat_window_s),
        }
    }

    /// Time from a stop signal to the kill.
    pub fn stop_time(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }

    fn check(&self) -> Result<()> {
        ensure!(self.stop_s > 0.0, "bounds.stop_s must be above 0, not {}", self.stop_s);
        ensure!(self.repeat_window_s > 0.0, "bounds.repeat_window_s must be above 0");
        ensure!(self.repeat_ratio >= 0.0, "bounds.repeat_ratio must not be negative");
        ensure!(self.repeat_slack >= 0.0, "bounds.repeat_slack must not be negative");
        self.limits.check()
    }
}

/// Settings of a router. Fields that are not known here are left for later versions.
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
    /// Address at which the balancer asks whether to send connections.
    pub ready: SocketAddr,
    /// Address for other routers.
    pub peer_listen: SocketAddr,
    /// Addresses of other routers, some of which may be gone.
    pub peers: Vec<SocketAddr>,
    /// Port of loaders and of this router's link to them, the same on all hosts.
    pub link_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// What the operators bound.
    pub bounds: SiteBounds,
}

/// Settings of a loader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoaderFile {
    /// Name of this process, and of its host as the holder of the engine.
    pub name: Arc<str>,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// This host's address.
    pub host: IpAddr,
    /// Port for routers, the same on all hosts.
    pub link_port: u16,
    /// Address of the engine beside this process.
    pub engine: SocketAddr,
    /// What the operators bound.
    pub bounds: SiteBounds,
}

/// A settings file that can be checked.
pub trait SiteFile: for<'a> Deserialize<'a> {
    /// Says what is wrong with the values.
    fn check(&self) -> Result<()>;

    /// Reads and checks a file.
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
        self.bounds.check()
    }
}

impl SiteFile for LoaderFile {
    fn check(&self) -> Result<()> {
        self.bounds.check()
    }
}

/// Settings of a role whose settings stand in a file.
#[derive(Clone, Debug)]
pub struct SiteSettings<T> {
    /// What the file holds.
    pub file: Arc<T>,
    /// The file, which may change.
    pub path: PathBuf,
    /// Address of the admin pages.
    pub metrics: SocketAddr,
    /// Least important log lines to write.
    pub log_level: Level,
}

impl<T: SiteFile> SiteSettings<T> {
    /// Reads and checks the file; the error names it and what is wrong.
    pub fn new(arguments: SiteArguments) -> Result<Self, String> {
        let level = &arguments.log_level;
        let log_level =
            level.parse().map_err(|()| format!("--log-level: `{level}` is not known"))?;
        let file = T::read(&arguments.settings).map_err(|error| format!("{error:#}"))?;
        let SiteArguments { settings: path, metrics, .. } = arguments;
        Ok(Self { file: Arc::new(file), path, metrics, log_level })
    }
}
