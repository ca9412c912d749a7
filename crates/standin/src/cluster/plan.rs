//! What a system on loopback consists of.

/// Ports, the same in every system.
pub const PLATFORM_PORT: u16 = 10_000;
/// Port of the weight store.
pub const WEIGHTS_PORT: u16 = 10_001;
/// First port of entries for callers.
pub const ENTRY_PORT: u16 = 11_000;
/// First port of entries' admin pages.
pub const ENTRY_ADMIN_PORT: u16 = 12_000;
/// First port of entries for agents.
pub const ENTRY_PEER_PORT: u16 = 12_500;
/// First port of engines.
pub const ENGINE_PORT: u16 = 13_000;
/// First port of engines' agents.
pub const ENGINE_AGENT_PORT: u16 = 14_000;
/// First port of the admin pages of engines' agents.
pub const ENGINE_AGENT_ADMIN_PORT: u16 = 15_000;
/// First port of plain services.
pub const SERVICE_PORT: u16 = 16_000;
/// First port of services' agents.
pub const SERVICE_AGENT_PORT: u16 = 17_000;
/// First port of the admin pages of services' agents.
pub const SERVICE_AGENT_ADMIN_PORT: u16 = 18_000;
/// First port of proxies on the links to agents; services' agents follow engines' ones.
pub const LINK_PORT: u16 = 20_000;
/// First port of the controls of those proxies.
pub const LINK_CONTROL_PORT: u16 = 21_000;
/// First spare port.
pub const SPARE_PORT: u16 = 19_000;

/// Where a host is.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
}

impl SitePlan {
    /// A host in a zone.
    pub fn new(region: &str, zone: &str) -> Self {
        Self { region: region.to_owned(), zone: zone.to_owned() }
    }
}

/// An engine and its agent.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Name of the host and its slot.
    pub name: String,
    /// Base model.
    pub base: String,
    /// Where it is.
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

/// A plain service replica and its agent.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the host and its slot.
    pub name: String,
    /// The service.
    pub service: String,
    /// Where it is.
    pub site: SitePlan,
}

/// A system.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Where the entries are.
    pub entries: Vec<SitePlan>,
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// Plain services.
    pub services: Vec<ServicePlan>,
    /// Routing policy.
    pub policy: String,
    /// Eviction policy.
    pub eviction: String,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Sequences that an engine runs at once.
    pub batch_limit: usize,
    /// Time of an engine's step, in microseconds.
    pub step_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time that each distinct adapter adds to a step, in microseconds.
    pub adapter_us: u64,
    /// Time that each prompt token adds to a step, in microseconds.
    pub prompt_us: u64,
    /// Loads that the weight store lets begin in a second.
    pub store_rate: f64,
    /// Time of a load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Loads a second that an agent may order by itself.
    pub load_rate: f64,
    /// Order of loads: fifo or urgency.
    pub load_order: String,
    /// How far the host list lags, in milliseconds.
    pub host_lag_ms: u64,
    /// Time of a service's call, in milliseconds.
    pub call_ms: u64,
    /// Whether a fault proxy stands on the link to each agent.
    pub link_proxies: bool,
    /// Whether engines check fencing numbers.
    pub check_fencing: bool,
    /// Least important log lines.
    pub log_level: String,
}

impl ClusterPlan {
    /// A system in one region: `entries` entries and `engines` engines spread over the zones, and
    /// one replica of the service `desk`.
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
