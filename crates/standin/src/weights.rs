//! Stand-in for the weight store: limits the rate of loads, and slows loads down when too many run
//! at once.

use eyre::Result;
use hyper::{Request, StatusCode, body::Incoming};
use plantain_net::server::{self, HttpHandler, HttpReply, ServerOptions, json_reply, text_reply};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::sleep};

/// Number of slices of a load. The speed of each slice depends on the number of concurrent loads at
/// its start.
const LOAD_SLICES: u32 = 20;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug)]
pub struct WeightOptions {
    /// Listen address for loads and counters.
    pub listen: SocketAddr,
    /// Loads that may start per second; others get status 429.
    pub rate: f64,
    /// Number of concurrent loads that run at full speed; with more, all share the same total
    /// bandwidth.
    pub full_speed: u32,
    /// Duration of a load at full speed.
    pub load_time: Duration,
}

/// Counters of the weight store, served at `GET /standin/counts`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WeightCounts {
    /// Loads started.
    pub loads: u64,
    /// Loads refused by the rate limit.
    pub refused: u64,
    /// Highest number of concurrent loads.
    pub peak: u32,
    /// Loads in progress.
    pub active: u32,
}

#[derive(Default)]
struct WeightState {
    counts: WeightCounts,
    tokens: f64,
    refilled: Option<Instant>,
}

#[derive(Clone)]
struct WeightHandler {
    options: Arc<WeightOptions>,
    state: Arc<Mutex<WeightState>>,
}

/// Runs the stand-in until `stopping`.
pub async fn run(options: WeightOptions, stopping: watch::Receiver<bool>) -> Result<()> {
    let listener = server::bind(options.listen, "weight store stand-in").await?;
    let handler = WeightHandler { options: Arc::new(options), state: Arc::default() };
    server::serve(listener, handler, ServerOptions { connections: 1_024 }, stopping).await;
    Ok(())
}

impl HttpHandler for WeightHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> HttpReply {
        let path = request.uri().path();
        if path == "/standin/counts" {
            let counts = self.state.lock().expect("no panic while locked").counts;
            return json_reply(StatusCode::OK, &counts);
        }
        let Some(name) = path.strip_prefix("/weights/").map(str::to_owned) else {
            return text_reply(StatusCode::NOT_FOUND, "no such weights");
        };
        if !self.admit() {
            return text_reply(StatusCode::TOO_MANY_REQUESTS, "over the load rate");
        }
        let _load = ActiveLoad::begin(Arc::clone(&self.state));
        for _ in 0..LOAD_SLICES {
            let active = self.state.lock().expect("no panic while locked").counts.active;
            let slowdown = f64::from(active) / f64::from(self.options.full_speed);
            sleep((self.options.load_time / LOAD_SLICES).mul_f64(slowdown.max(1.0))).await;
        }
        text_reply(StatusCode::OK, format!("weights of {name}"))
    }
}

impl WeightHandler {
    fn admit(&self) -> bool {
        let mut state = self.state.lock().expect("no panic while locked");
        let now = Instant::now();
        let burst = self.options.rate.max(1.0);
        let since = state.refilled.map(|refilled| now - refilled);
        let refill = since.map_or(burst, |since| since.as_secs_f64() * self.options.rate);
        state.tokens = (state.tokens + refill).min(burst);
        state.refilled = Some(now);
        if state.tokens < 1.0 {
            state.counts.refused += 1;
            return false;
        }
        state.tokens -= 1.0;
        state.counts.loads += 1;
        true
    }
}

/// Counts a load as active until it is dropped.
struct ActiveLoad(Arc<Mutex<WeightState>>);

impl ActiveLoad {
    fn begin(state: Arc<Mutex<WeightState>>) -> Self {
        let mut locked = state.lock().expect("no panic while locked");
        locked.counts.active += 1;
        locked.counts.peak = locked.counts.peak.max(locked.counts.active);
        drop(locked);
        Self(state)
    }
}

impl Drop for ActiveLoad {
    fn drop(&mut self) {
        self.0.lock().expect("no panic while locked").counts.active -= 1;
    }
}
