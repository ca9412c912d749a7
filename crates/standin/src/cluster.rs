//! A complete system of real processes on loopback, for tests, the demo and the benchmarks.

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

/// Key of the links between the processes of a test system.
pub const TEST_KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
/// Longest wait for a condition.
pub const CONDITION_LIMIT: Duration = Duration::from_mins(1);
/// Pause between looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a page of a process.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A running system.
pub struct Cluster {
    ip: IpAddr,
    plan: ClusterPlan,
    directory: ClusterDirectory,
    processes: BTreeMap<String, ManagedProcess>,
    http: HttpClient,
}

impl Cluster {
    /// Starts all processes of a plan and waits until requests can be served.
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

    /// The client that the system's pages are read with.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Where logs of the processes are kept.
    pub fn directory(&self) -> &std::path::Path {
        self.directory.path()
    }

    /// The platform's address.
    pub fn platform(&self) -> SocketAddr {
        self.address(plan::PLATFORM_PORT)
    }

    /// The weight store's address.
    pub fn weights(&self) -> SocketAddr {
        self.address(plan::WEIGHTS_PORT)
    }

    /// The address of entry `index` for callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.address(plan::ENTRY_PORT + index as u16)
    }

    /// The address of an entry's admin pages.
    pub fn entry_admin(&self, index: usize) -> SocketAddr {
        self.address(plan::ENTRY_ADMIN_PORT + index as u16)
    }

    /// The address of engine `index`.
    pub fn engine(&self, index: usize) -> SocketAddr {
        self.address(plan::ENGINE_PORT + index as u16)
    }

    /// The address of the agent of engine `index` for entries.
    pub fn engine_agent(&self, index: usize) -> SocketAddr {
        self.address(plan::ENGINE_AGENT_PORT + index as u16)
    }

    /// The address of the admin pages of the agent of engine `index`.
    pub fn engine_agent_admin(&self, index: usize) -> SocketAddr {
        self.address(plan::ENGINE_AGENT_ADMIN_PORT + index as u16)
    }

    /// The address of plain service `index`.
    pub fn service(&self, index: usize) -> SocketAddr {
        self.address(plan::SERVICE_PORT + index as u16)
    }

    /// The address of the admin pages of the agent of service `index`.
    pub fn service_agent_admin(&self, index: usize) -> SocketAddr {
        self.address(plan::SERVICE_AGENT_ADMIN_PORT + index as u16)
    }

    /// A spare address, for a proxy.
    pub fn spare(&self, index: u16) -> SocketAddr {
        self.address(plan::SPARE_PORT + index)
    }

    /// Runs the command-line tool.
    pub async fn control(&self, arguments: &[&str]) -> Result<Output> {
        let platform = self.platform().to_string();
        Command::new(binary("plantainctl")?)
            .args(["--platform", &platform])
            .args(arguments)
            .output()
            .await
            .wrap_err("run plantainctl")
    }

    /// Runs the command-line tool and checks that it succeeds; returns what it prints.
    pub async fn control_ok(&self, arguments: &[&str]) -> Result<String> {
        let output = self.control(arguments).await?;
        let error = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "plantainctl {arguments:?}: {error}");
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Reads a JSON page.
    pub async fn page<T: serde::de::DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T> {
        self.http.get_json(&url(peer, path), PAGE_TIMEOUT).await
    }

    /// Sets faults of a stand-in.
    pub async fn set<T: Serialize + Sync>(
        &self,
        peer: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<()> {
        self.http.post_json(&url(peer, path), value, PAGE_TIMEOUT).await.map(drop)
    }

    /// Starts a further process under a name.
    pub fn start_process(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<()> {
        let process = ManagedProcess::start(&self.directory, name, program, arguments)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        match self.processes.get(name) {
            Some(process) => process.signal(signal),
            None => bail!("no process {name}"),
        }
    }

    /// Whether a process was started and not ended by this system.
    pub fn has(&self, name: &str) -> bool {
        self.processes.contains_key(name)
    }

    /// The process id of a process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).and_then(ManagedProcess::id)
    }

    /// Kills a process without warning.
    pub async fn kill(&mut self, name: &str) -> Result<()> {
        let Some(process) = self.processes.remove(name) else { bail!("no process {name}") };
        process.kill().await
    }

    /// Asks a process to stop and waits until it has; returns whether it ended in order.
    pub async fn stop(&mut self, name: &str) -> Result<bool> {
        let Some(process) = self.processes.remove(name) else { bail!("no process {name}") };
        process.stop().await
    }

    /// Waits until a condition holds.
    pub async fn wait_for<F>(&self, what: &str, condition: F) -> Result<()>
    where
        F: AsyncFn() -> Result<bool>,
    {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < CONDITION_LIMIT {
            match condition().await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => last = Some(error),
            }
            sleep(LOOK_PAUSE).await;
        }
        bail!("{what}: not so after {CONDITION_LIMIT:?}; last error: {last:?}")
    }

    /// Waits until each entry knows every target, and each target is up.
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

    /// Waits until a configuration revision is in force in each entry and agent.
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

    /// Stops all processes gracefully, entries first; true if each ended in order.
    pub async fn shut_down(mut self) -> Result<bool> {
        let mut in_order = true;
        for prefix in ["entry", "agent", ""] {
            let names: Vec<String> =
                self.processes.keys().filter(|name| name.starts_with(prefix)).cloned().collect();
            for name in &names {
                self.signal(name, Signal::SIGTERM)?;
            }
            for name in names {
                in_order &= self.stop(&name).await?;
            }
        }
        Ok(in_order)
    }

    /// Starts the engines again whose processes have ended; returns how many.
    pub fn revive_engines(&mut self) -> Result<usize> {
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

    /// Starts engine `index`.
    pub fn start_engine(&mut self, index: usize) -> Result<()> {
        let mut arguments = words(&["engine", "--listen", &self.engine(index).to_string()]);
        arguments.extend(EnginePlan::engine_arguments(&self.plan));
        self.start_process(&format!("engine-{index}"), "plantain-standin", &arguments)
    }

    /// Starts the agent of engine `index`.
    pub fn start_engine_agent(&mut self, index: usize) -> Result<()> {
        let engine = self.engine(index);
        self.start_engine_agent_at(index, engine)
    }

    /// Starts the agent of engine `index` with another address for the engine, as of a proxy.
    pub fn start_engine_agent_at(&mut self, index: usize, engine: SocketAddr) -> Result<()> {
        let plan: EnginePlan = self.plan.engines[index].clone();
        let mut arguments = vec!["agent".to_owned()];
        arguments.extend(self.common(&plan.name, &plan.site, self.engine_agent_admin(index)));
        arguments.extend(words(&[
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

    /// Address of the control of the proxy before agent `index`; services' agents follow engines'.
    pub fn link_control(&self, index: usize) -> SocketAddr {
        self.address(plan::LINK_CONTROL_PORT + index as u16)
    }

    /// Starts a proxy before an agent, if the plan has them and it does not run yet, and returns
    /// the agent's arguments to be reached through it.
    fn start_link_proxy(&mut self, index: u16, upstream: &str) -> Result<Vec<String>> {
        if !self.plan.link_proxies {
            return Ok(Vec::new());
        }
        let listen = self.address(plan::LINK_PORT + index).to_string();
        let control = self.link_control(index.into()).to_string();
        let name = format!("link-{index}");
        if !self.processes.contains_key(&name) {
            let arguments = words(&[
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
        Ok(words(&["--announce", &listen]))
    }

    /// Starts another agent for engine `index` on another host, as a successor would be.
    pub fn start_successor(&mut self, index: usize) -> Result<()> {
        let plan: EnginePlan = self.plan.engines[index].clone();
        let mut arguments = vec!["agent".to_owned()];
        arguments.extend(self.common(&plan.name, &plan.site, self.spare(0)));
        arguments.extend(words(&[
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
        arguments.extend(self.common(&name, site, self.entry_admin(index)));
        let listen = self.entry(index).to_string();
        arguments.extend(words(&["--listen", &listen, "--policy", &self.plan.policy]));
        let peer = self.address(plan::ENTRY_PEER_PORT + index as u16).to_string();
        let rate = self.plan.store_rate.to_string();
        arguments.extend(words(&["--peer-listen", &peer, "--store-rate", &rate]));
        arguments.extend(words(&["--load-order", &self.plan.load_order]));
        for other in (0..self.plan.entries.len()).filter(|&other| other != index) {
            let peer = self.address(plan::ENTRY_PEER_PORT + other as u16).to_string();
            arguments.extend(words(&["--peer", &peer]));
        }
        self.start_process(&name, "plantaind", &arguments)
    }

    fn start_service(&mut self, index: usize) -> Result<()> {
        let listen = self.service(index).to_string();
        let call_ms = self.plan.call_ms.to_string();
        let service = words(&["service", "--listen", &listen, "--call-ms", &call_ms]);
        self.start_process(&format!("service-{index}"), "plantain-standin", &service)?;
        self.restart_service_agent(index)
    }

    /// Starts the agent of service `index`.
    pub fn restart_service_agent(&mut self, index: usize) -> Result<()> {
        let plan: ServicePlan = self.plan.services[index].clone();
        let target = self.service(index).to_string();
        let mut agent = vec!["agent".to_owned()];
        agent.extend(self.common(&plan.name, &plan.site, self.service_agent_admin(index)));
        let listen = self.address(plan::SERVICE_AGENT_PORT + index as u16).to_string();
        agent.extend(words(&["--listen", &listen, "--target", &target]));
        let link = (self.plan.engines.len() + index) as u16;
        agent.extend(self.start_link_proxy(link, &listen)?);
        agent.extend(words(&["--service", &plan.service]));
        self.start_process(&format!("agent-service-{index}"), "plantaind", &agent)
    }

    async fn start_standins(&mut self) -> Result<()> {
        let mut platform = words(&["platform", "--listen", &self.platform().to_string()]);
        platform.extend(self.plan.platform_arguments());
        self.start_process("platform", "plantain-standin", &platform)?;
        let mut weights = words(&["weights", "--listen", &self.weights().to_string()]);
        weights.extend(self.plan.weight_arguments());
        self.start_process("weights", "plantain-standin", &weights)?;
        let platform = self.platform();
        self.wait_for("platform answers", async || {
            self.page::<Value>(platform, "/standin/calls").await.map(|_| true)
        })
        .await?;
        self.set(platform, "/standin/hosts", &self.hosts(&[])).await
    }

    /// The host list, with the named hosts leaving.
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

    fn common(&self, name: &str, site: &SitePlan, admin: SocketAddr) -> Vec<String> {
        words(&[
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

/// A loopback address of its own for each system, so that fixed ports never meet those of another
/// test.
fn loopback_address() -> IpAddr {
    let process = std::process::id();
    let index = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let second = 64 + (process >> 8) % 128;
    IpAddr::V4(Ipv4Addr::new(127, second as u8, process as u8, 1 + (index % 250) as u8))
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|&word| word.to_owned()).collect()
}
