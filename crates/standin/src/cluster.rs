//! Test cluster: a complete system of real processes on loopback, for tests, demo and benchmarks.

pub mod plan;
pub mod process;

use eyre::{Result, WrapErr, bail, ensure};
use nix::sys::signal::Signal;
use plan::{ClusterPlan, EnginePlan, ServicePlan, SitePlan};
use plantain_net::{
    client::{HttpClient, url},
    platform::records::{HostRecord, HostState},
};
use process::{ClusterDirectory, ManagedProcess, binary};
use serde::Serialize;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::Output,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};
use tokio::{process::Command, time::sleep};

/// Shared peer key of the links between entries and agents of a test cluster.
pub const TEST_KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
/// Timeout of `Cluster::wait_for`.
pub const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request to an admin page or a stand-in.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of clusters started in this process; gives each its own loopback address.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A running cluster; its processes are killed when it is dropped.
pub struct Cluster {
    ip: IpAddr,
    plan: ClusterPlan,
    directory: ClusterDirectory,
    processes: BTreeMap<String, ManagedProcess>,
    http: HttpClient,
}

impl Cluster {
    /// Starts all processes of a plan and waits until all entries and targets are ready.
    pub async fn start(plan: ClusterPlan) -> Result<Self> {
        let mut cluster = Self {
            ip: loopback_address(),
            directory: ClusterDirectory::new()?,
            processes: BTreeMap::new(),
            http: HttpClient::new(),
            plan,
        };
        cluster.start_standins().await?;
        for index in 0..cluster.plan.engines.len() {
            cluster.start_engine(index)?;
            cluster.start_engine_agent(index)?;
        }
        for index in 0..cluster.plan.services.len() {
            cluster.start_service(index)?;
        }
        for index in 0..cluster.plan.entries.len() {
            cluster.start_entry(index)?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// HTTP client that is shared by all requests of the cluster.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Directory of the processes' log files.
    pub fn directory(&self) -> &std::path::Path {
        self.directory.path()
    }

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.address(plan::PLATFORM_PORT)
    }

    /// Address of the weight store.
    pub fn weights(&self) -> SocketAddr {
        self.address(plan::WEIGHTS_PORT)
    }

    /// Address of entry `index` for callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.address(plan::ENTRY_PORT + index as u16)
    }

    /// Address of the admin pages of entry `index`.
    pub fn entry_admin(&self, index: usize) -> SocketAddr {
        self.address(plan::ENTRY_ADMIN_PORT + index as u16)
    }

    /// Address of engine `index`.
    pub fn engine(&self, index: usize) -> SocketAddr {
        self.address(plan::ENGINE_PORT + index as u16)
    }

    /// Address on which the agent of engine `index` accepts links from entries.
    pub fn engine_agent(&self, index: usize) -> SocketAddr {
        self.address(plan::ENGINE_AGENT_PORT + index as u16)
    }

    /// Address of the admin pages of the agent of engine `index`.
    pub fn engine_agent_admin(&self, index: usize) -> SocketAddr {
        self.address(plan::ENGINE_AGENT_ADMIN_PORT + index as u16)
    }

    /// Address of plain service `index`.
    pub fn service(&self, index: usize) -> SocketAddr {
        self.address(plan::SERVICE_PORT + index as u16)
    }

    /// Address of the admin pages of the agent of service `index`.
    pub fn service_agent_admin(&self, index: usize) -> SocketAddr {
        self.address(plan::SERVICE_AGENT_ADMIN_PORT + index as u16)
    }

    /// Unused address `index`, for processes that a test adds.
    pub fn spare(&self, index: u16) -> SocketAddr {
        self.address(plan::SPARE_PORT + index)
    }

    /// Runs `plantainctl` against the cluster's platform; a nonzero exit status is not an error.
    pub async fn control(&self, arguments: &[&str]) -> Result<Output> {
        let platform = self.platform().to_string();
        Command::new(binary("plantainctl")?)
            .args(["--platform", &platform])
            .args(arguments)
            .output()
            .await
            .wrap_err("run plantainctl")
    }

    /// Runs `plantainctl`, fails unless it succeeds, and returns its standard output.
    pub async fn control_ok(&self, arguments: &[&str]) -> Result<String> {
        let output = self.control(arguments).await?;
        let error = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "plantainctl {arguments:?}: {error}");
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Reads a JSON page of a process.
    pub async fn page<T: serde::de::DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T> {
        self.http.get_json(&url(peer, path), PAGE_TIMEOUT).await
    }

    /// Posts a JSON value to a control page of a stand-in, such as its faults.
    pub async fn set<T: Serialize + Sync>(
        &self,
        peer: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<()> {
        self.http.post_json(&url(peer, path), value, PAGE_TIMEOUT).await.map(drop)
    }

    /// Starts an additional process; `name` identifies it in later calls.
    pub fn start_process(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<()> {
        let process = ManagedProcess::start(&self.directory, name, program, arguments)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Sends a signal to the process `name`.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        match self.processes.get(name) {
            Some(process) => process.signal(signal),
            None => bail!("no process {name}"),
        }
    }

    /// Whether a process was started and not killed or stopped since through this cluster. Also
    /// true for a process that crashed.
    pub fn has(&self, name: &str) -> bool {
        self.processes.contains_key(name)
    }

    /// Process id of a running process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).and_then(ManagedProcess::id)
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub async fn kill(&mut self, name: &str) -> Result<()> {
        let Some(process) = self.processes.remove(name) else { bail!("no process {name}") };
        process.kill().await
    }

    /// Stops a process with SIGTERM and waits for its end; true if its exit status is 0.
    pub async fn stop(&mut self, name: &str) -> Result<bool> {
        let Some(process) = self.processes.remove(name) else { bail!("no process {name}") };
        process.stop().await
    }

    /// Polls a condition until it holds; `what` describes it in the error after the timeout.
    pub async fn wait_for<F>(&self, what: &str, condition: F) -> Result<()>
    where
        F: AsyncFn() -> Result<bool>,
    {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < CONDITION_TIMEOUT {
            match condition().await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => last = Some(error),
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("{what}: condition not met after {CONDITION_TIMEOUT:?}; last error: {last:?}")
    }

    /// Waits until each agent reports its target as up, and each entry is ready and lists all
    /// targets as open.
    pub async fn wait_ready(&self) -> Result<()> {
        let targets = self.plan.engines.len() + self.plan.services.len();
        let agents = (0..self.plan.engines.len()).map(|index| self.engine_agent_admin(index));
        let services = (0..self.plan.services.len()).map(|index| self.service_agent_admin(index));
        for admin in agents.chain(services) {
            self.wait_for("target up", async || {
                let status: Value = self.page(admin, "/status").await?;
                Ok(status["target_up"] == true)
            })
            .await?;
        }
        for index in 0..self.plan.entries.len() {
            self.wait_for("entry ready", async || {
                let status: Value = self.page(self.entry_admin(index), "/status").await?;
                let open = |target: &&Value| target["open"] == true;
                let known = status["routing"]["targets"].as_array();
                let known = known.map_or(0, |targets| targets.iter().filter(open).count());
                Ok(status["ready"] == true && known >= targets)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until each entry and engine's agent runs on configuration `revision` or a newer one.
    pub async fn wait_revision(&self, revision: u64) -> Result<()> {
        let entries = (0..self.plan.entries.len()).map(|index| self.entry_admin(index));
        let agents = (0..self.plan.engines.len()).map(|index| self.engine_agent_admin(index));
        for admin in entries.chain(agents) {
            self.wait_for("revision in force", async || {
                let status: Value = self.page(admin, "/status").await?;
                Ok(status["revision"].as_u64() >= Some(revision))
            })
            .await?;
        }
        Ok(())
    }

    /// Stops all processes gracefully: entries, agents, then the rest. True if all exit with
    /// status 0.
    pub async fn shut_down(mut self) -> Result<bool> {
        let mut all_succeeded = true;
        for prefix in ["entry", "agent", ""] {
            let names: Vec<String> =
                self.processes.keys().filter(|name| name.starts_with(prefix)).cloned().collect();
            for name in &names {
                self.signal(name, Signal::SIGTERM)?;
            }
            for name in names {
                all_succeeded &= self.stop(&name).await?;
            }
        }
        Ok(all_succeeded)
    }

    /// Restarts the engines whose processes have ended and returns their number.
    pub fn restart_crashed_engines(&mut self) -> Result<usize> {
        let mut count = 0;
        for index in 0..self.plan.engines.len() {
            let process = self.processes.get_mut(&format!("engine-{index}"));
            if process.is_some_and(ManagedProcess::has_ended) {
                self.start_engine(index)?;
                count += 1;
            }
        }
        Ok(count)
    }

    /// Starts the process of engine `index`.
    pub fn start_engine(&mut self, index: usize) -> Result<()> {
        let mut arguments = to_strings(&["engine", "--listen", &self.engine(index).to_string()]);
        arguments.extend(EnginePlan::engine_arguments(&self.plan));
        self.start_process(&format!("engine-{index}"), "plantain-standin", &arguments)
    }

    /// Starts the agent of engine `index`.
    pub fn start_engine_agent(&mut self, index: usize) -> Result<()> {
        let engine = self.engine(index);
        self.start_engine_agent_at(index, engine)
    }

    /// Starts the agent of engine `index` with `engine` as the engine's address, such as a proxy's.
    pub fn start_engine_agent_at(&mut self, index: usize, engine: SocketAddr) -> Result<()> {
        let plan: EnginePlan = self.plan.engines[index].clone();
        let mut arguments = vec!["agent".to_owned()];
        arguments.extend(self.common_arguments(
            &plan.name,
            &plan.site,
            self.engine_agent_admin(index),
        ));
        arguments.extend(to_strings(&[
            "--listen",
            &self.engine_agent(index).to_string(),
            "--target",
            &engine.to_string(),
            "--weight-store",
            &self.weights().to_string(),
        ]));
        arguments.extend(plan.agent_arguments(&self.plan));
        let listen = self.engine_agent(index).to_string();
        arguments.extend(self.start_link_proxy(index as u16, &listen)?);
        self.start_process(&format!("agent-engine-{index}"), "plantaind", &arguments)
    }

    /// Control address of the link proxy of agent `index`; indices of services' agents follow those
    /// of engines' agents.
    pub fn link_control(&self, index: usize) -> SocketAddr {
        self.address(plan::LINK_CONTROL_PORT + index as u16)
    }

    /// Starts the link proxy of an agent unless it runs already, and returns the arguments with
    /// which the agent announces the proxy's address. Does nothing if the plan has no link proxies.
    fn start_link_proxy(&mut self, index: u16, upstream: &str) -> Result<Vec<String>> {
        if !self.plan.link_proxies {
            return Ok(Vec::new());
        }
        let listen = self.address(plan::LINK_PORT + index).to_string();
        let control = self.link_control(index.into()).to_string();
        let name = format!("link-{index}");
        if !self.processes.contains_key(&name) {
            let arguments = to_strings(&[
                "fault",
                "--transport",
                "udp",
                "--listen",
                &listen,
                "--upstream",
                upstream,
                "--control",
                &control,
            ]);
            self.start_process(&name, "plantain-standin", &arguments)?;
        }
        Ok(to_strings(&["--announce", &listen]))
    }

    /// Starts a second agent for engine `index`, at its own address as a successor on another host would be. It
    /// competes with the first agent for the slot.
    pub fn start_successor(&mut self, index: usize) -> Result<()> {
        let plan: EnginePlan = self.plan.engines[index].clone();
        let mut arguments = vec!["agent".to_owned()];
        arguments.extend(self.common_arguments(&plan.name, &plan.site, self.spare(0)));
        arguments.extend(to_strings(&[
            "--listen",
            &self.spare(1).to_string(),
            "--target",
            &self.engine(index).to_string(),
            "--weight-store",
            &self.weights().to_string(),
        ]));
        arguments.extend(plan.agent_arguments(&self.plan));
        self.start_process(&format!("successor-engine-{index}"), "plantaind", &arguments)
    }

    /// Starts entry `index`.
    pub fn start_entry(&mut self, index: usize) -> Result<()> {
        let site: &SitePlan = &self.plan.entries[index];
        let name = format!("entry-{index}");
        let mut arguments = vec!["entry".to_owned()];
        arguments.extend(self.common_arguments(&name, site, self.entry_admin(index)));
        let listen = self.entry(index).to_string();
        arguments.extend(to_strings(&["--listen", &listen, "--policy", &self.plan.policy]));
        let peer = self.address(plan::ENTRY_PEER_PORT + index as u16).to_string();
        let rate = self.plan.store_rate.to_string();
        arguments.extend(to_strings(&["--peer-listen", &peer, "--store-rate", &rate]));
        arguments.extend(to_strings(&["--load-order", &self.plan.load_order]));
        for other in (0..self.plan.entries.len()).filter(|&other| other != index) {
            let peer = self.address(plan::ENTRY_PEER_PORT + other as u16).to_string();
            arguments.extend(to_strings(&["--peer", &peer]));
        }
        self.start_process(&name, "plantaind", &arguments)
    }

    fn start_service(&mut self, index: usize) -> Result<()> {
        let listen = self.service(index).to_string();
        let call_ms = self.plan.call_ms.to_string();
        let service = to_strings(&["service", "--listen", &listen, "--call-ms", &call_ms]);
        self.start_process(&format!("service-{index}"), "plantain-standin", &service)?;
        self.restart_service_agent(index)
    }

    /// Starts the agent of service `index`; the service itself keeps running.
    pub fn restart_service_agent(&mut self, index: usize) -> Result<()> {
        let plan: ServicePlan = self.plan.services[index].clone();
        let target = self.service(index).to_string();
        let mut agent = vec!["agent".to_owned()];
        agent.extend(self.common_arguments(
            &plan.name,
            &plan.site,
            self.service_agent_admin(index),
        ));
        let listen = self.address(plan::SERVICE_AGENT_PORT + index as u16).to_string();
        agent.extend(to_strings(&["--listen", &listen, "--target", &target]));
        let link = (self.plan.engines.len() + index) as u16;
        agent.extend(self.start_link_proxy(link, &listen)?);
        agent.extend(to_strings(&["--service", &plan.service]));
        self.start_process(&format!("agent-service-{index}"), "plantaind", &agent)
    }

    async fn start_standins(&mut self) -> Result<()> {
        let mut platform = to_strings(&["platform", "--listen", &self.platform().to_string()]);
        platform.extend(self.plan.platform_arguments());
        self.start_process("platform", "plantain-standin", &platform)?;
        let mut weights = to_strings(&["weights", "--listen", &self.weights().to_string()]);
        weights.extend(self.plan.weight_arguments());
        self.start_process("weights", "plantain-standin", &weights)?;
        let platform = self.platform();
        self.wait_for("platform answers", async || {
            self.page::<Value>(platform, "/standin/calls").await.map(|_| true)
        })
        .await?;
        self.set(platform, "/standin/hosts", &self.hosts(&[])).await
    }

    /// Host list of the platform; the hosts named in `leaving` have the state `Leaving`.
    pub fn hosts(&self, leaving: &[&str]) -> Vec<HostRecord> {
        let engines = self.plan.engines.iter().map(|plan| (plan.name.clone(), &plan.site));
        let services = self.plan.services.iter().map(|plan| (plan.name.clone(), &plan.site));
        let entries = self.plan.entries.iter().enumerate();
        let entries = entries.map(|(index, site)| (format!("entry-{index}"), site));
        let record = |(name, site): (String, &SitePlan)| HostRecord {
            state: if leaving.contains(&name.as_str()) {
                HostState::Leaving
            } else {
                HostState::Live
            },
            region: site.region.as_str().into(),
            zone: site.zone.as_str().into(),
            name,
        };
        engines.chain(services).chain(entries).map(record).collect()
    }

    /// Arguments that entries and agents have in common.
    fn common_arguments(&self, name: &str, site: &SitePlan, admin: SocketAddr) -> Vec<String> {
        to_strings(&[
            "--name",
            name,
            "--region",
            &site.region,
            "--zone",
            &site.zone,
            "--platform",
            &self.platform().to_string(),
            "--admin",
            &admin.to_string(),
            "--log-level",
            &self.plan.log_level,
        ])
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }
}

/// Loopback address of a new cluster. It is derived from the process id and a counter, so that the
/// fixed ports of concurrent clusters do not collide.
fn loopback_address() -> IpAddr {
    let process = std::process::id();
    let index = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let second = 64 + (process >> 8) % 128;
    IpAddr::V4(Ipv4Addr::new(127, second as u8, process as u8, 1 + (index % 250) as u8))
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|&word| word.to_owned()).collect()
}
