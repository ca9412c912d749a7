//! Plan of a test cluster: its processes, their parameters and their ports.

/// Port of the platform. All ports are the same in every cluster; only the address differs.
pub const PLATFORM_PORT: u16 = 10_000;
/// Port of the weight store.
pub const WEIGHTS_PORT: u16 = 10_001;
/// Port of the first entry for callers; the ports of further entries follow.
pub const ENTRY_PORT: u16 = 11_000;
/// First port of the entries' admin pages.
pub const ENTRY_ADMIN_PORT: u16 = 12_000;
/// First port on which entries accept requests for load permits from agents.
pub const ENTRY_PEER_PORT: u16 = 12_500;
/// First port of the engines.
pub const ENGINE_PORT: u16 = 13_000;
/// First port of the engines' agents.
pub const ENGINE_AGENT_PORT: u16 = 14_000;
/// First port of the admin pages of engines' agents.
pub const ENGINE_AGENT_ADMIN_PORT: u16 = 15_000;
/// First port of the plain services.
pub const SERVICE_PORT: u16 = 16_000;
/// First port of the services' agents.
pub const SERVICE_AGENT_PORT: u16 = 17_000;
/// First port of the admin pages of services' agents.
pub const SERVICE_AGENT_ADMIN_PORT: u16 = 18_000;
/// First port of the proxies on the links to agents; those of services' agents follow those of
/// engines' agents.
pub const LINK_PORT: u16 = 20_000;
/// First port of the control APIs of the proxies on the links to agents.
pub const LINK_CONTROL_PORT: u16 = 21_000;
/// First port that the cluster leaves to tests.
pub const SPARE_PORT: u16 = 19_000;

/// Location of a host.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Region name.
    pub region: String,
    /// Availability zone name.
    pub zone: String,
}

impl SitePlan {
    /// Creates a location from region and zone.
    pub fn new(region: &str, zone: &str) -> Self {
        Self { region: region.to_owned(), zone: zone.to_owned() }
    }
}

/// Plan of an engine and its agent.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Name of the host and of its slot.
    pub name: String,
    /// Base model that the engine serves.
    pub base: String,
    /// Location of the host.
    pub site: SitePlan,
}

impl EnginePlan {
    pub(super) fn engine_arguments(plan: &ClusterPlan) -> Vec<String> {
        let mut arguments = vec![
            format!("--slots={}", plan.slots),
            format!("--batch-limit={}", plan.batch_limit),
            format!("--step-us={}", plan.step_us),
            format!("--sequence-us={}", plan.sequence_us),
            format!("--adapter-us={}", plan.adapter_us),
            format!("--prompt-us={}", plan.prompt_us),
        ];
        if plan.check_fencing {
            arguments.push("--check-fencing".into());
        }
        arguments
    }

    pub(super) fn agent_arguments(&self, plan: &ClusterPlan) -> Vec<String> {
        let mut arguments = vec![
            format!("--base={}", self.base),
            format!("--slots={}", plan.slots),
            format!("--batch-limit={}", plan.batch_limit),
            format!("--load-rate={}", plan.load_rate),
            format!("--eviction={}", plan.eviction),
        ];
        if plan.check_fencing {
            arguments.push("--engine-checks-fencing".into());
        }
        arguments
    }
}

/// Plan of a replica of a plain service and its agent.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the host and of its slot.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Location of the host.
    pub site: SitePlan,
}

/// Plan of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Locations of the entries, one per entry.
    pub entries: Vec<SitePlan>,
    /// Engines, each with an agent.
    pub engines: Vec<EnginePlan>,
    /// Replicas of plain services, each with an agent.
    pub services: Vec<ServicePlan>,
    /// Routing policy of the entries, by name.
    pub policy: String,
    /// Eviction policy of the agents, by name.
    pub eviction: String,
    /// Adapter slots per engine.
    pub slots: usize,
    /// Maximum number of sequences in an engine's batch.
    pub batch_limit: usize,
    /// Base time of an engine's batch step, in microseconds.
    pub step_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time that each distinct adapter adds to a step, in microseconds.
    pub adapter_us: u64,
    /// Time that each prompt token to prefill adds to a step, in microseconds.
    pub prompt_us: u64,
    /// Loads that may start per second at the weight store; entries grant load permits at this
    /// rate.
    pub store_rate: f64,
    /// Duration of a load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Loads per second that an agent may order while no entry grants load permits.
    pub load_rate: f64,
    /// Order in which load permits are granted: `fifo` or `urgency`.
    pub load_order: String,
    /// Delay of the platform's host list, in milliseconds.
    pub host_lag_ms: u64,
    /// Processing time of a service's call, in milliseconds.
    pub call_ms: u64,
    /// Whether the link to each agent goes through a fault proxy.
    pub link_proxies: bool,
    /// Whether engines refuse orders with an outdated fencing number.
    pub check_fencing: bool,
    /// Log level of entries and agents.
    pub log_level: String,
}

impl ClusterPlan {
    /// Creates a plan for one region: entries and engines are assigned to `zones` round-robin, with
    /// one replica of the service `desk` in the first zone.
    pub fn new(entries: usize, engines: usize, zones: &[&str]) -> Self {
        let site = |index: usize| SitePlan::new("region-1", zones[index % zones.len()]);
        let engine = |index: usize| EnginePlan {
            name: format!("scribe-{index}"),
            base: "scribe".into(),
            site: site(index),
        };
        Self {
            entries: (0..entries).map(site).collect(),
            engines: (0..engines).map(engine).collect(),
            services: vec![ServicePlan {
                name: "desk-0".into(),
                service: "desk".into(),
                site: site(0),
            }],
            policy: "cost".into(),
            eviction: "worth".into(),
            slots: 8,
            batch_limit: 16,
            step_us: 2_000,
            sequence_us: 20,
            adapter_us: 100,
            prompt_us: 5,
            store_rate: 100.0,
            load_ms: 50,
            load_rate: 100.0,
            load_order: "urgency".into(),
            host_lag_ms: 200,
            call_ms: 5,
            link_proxies: false,
            check_fencing: false,
            log_level: "info".into(),
        }
    }

    pub(super) fn platform_arguments(&self) -> Vec<String> {
        vec![format!("--host-lag-ms={}", self.host_lag_ms)]
    }

    pub(super) fn weight_arguments(&self) -> Vec<String> {
        vec![format!("--rate={}", self.store_rate), format!("--load-ms={}", self.load_ms)]
    }
}
