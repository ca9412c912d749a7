//! Parameters of a simulated fleet, and counts of its results.

/// Parameters of a simulated fleet.
#[derive(Clone, Copy)]
pub struct FleetPlan {
    pub routers: usize,
    pub engines: usize,
    /// Calls per second at each router.
    pub calls_per_second: f64,
    /// Number of adapters, all equally popular.
    pub adapters: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    pub seed: u64,
}

/// Counts since the last reset.
#[derive(Debug, Default)]
pub struct FleetCounts {
    pub calls: usize,
    pub sent: usize,
    /// Calls that were sent to an engine without their adapter.
    pub refused: usize,
    /// Longest time in milliseconds from a call's arrival until it was sent, among calls that waited for no load.
    pub max_report_wait_ms: u64,
    pub bytes_of_routers: Vec<usize>,
    pub bytes_of_loaders: Vec<usize>,
    /// Time in milliseconds from [`Fleet::kill_all`] until the first call was sent.
    pub first_sent_ms: Option<u64>,
}
