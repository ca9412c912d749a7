//! What a simulated fleet is made of, and what was seen of it.

/// What kind of fleet is played.
#[derive(Clone, Copy)]
pub struct FleetPlan {
    pub routers: usize,
    pub engines: usize,
    /// Calls a second at each router.
    pub calls_a_second: f64,
    /// Adapters, each as popular as the others.
    pub adapters: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    pub seed: u64,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct FleetCounts {
    pub calls: usize,
    pub sent: usize,
    /// Calls that were sent to an engine without their adapter.
    pub refused: usize,
    /// Longest time from a call's coming to its sending, of calls that waited for no load, in milliseconds.
    pub longest_ask_ms: u64,
    pub bytes_of_routers: Vec<usize>,
    pub bytes_of_loaders: Vec<usize>,
    /// When the first call was sent after [`Fleet::kill_all`], in milliseconds since.
    pub first_sent_ms: Option<u64>,
}
