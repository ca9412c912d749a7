//! Metrics in Prometheus' text format, and the admin server that shows them.

pub mod names;

use crate::duty::supervisor::DutySupervisor;
use eyre::{Result, WrapErr};
use hyper::{Method, Request, StatusCode, body::Incoming};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use plantain_net::server::{
    self, HttpHandler, HttpReply, ServerOptions, json_reply, serve, text_reply, typed_reply,
};
use serde_json::{Value, json};
use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, time::interval};

/// Largest number of connections to the admin server.
const ADMIN_CONNECTIONS: usize = 64;
/// Pause between two runs of the recorder's upkeep, which drains the histograms.
const UPKEEP_PAUSE: Duration = Duration::from_secs(5);
/// Bucket bounds, in seconds, of metrics named `*_seconds`.
const SECOND_BOUNDS: [f64; 16] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 1.9, 3.0, 5.0, 10.0, 30.0];
/// Bucket bounds of metrics named `*_ratio`.
const RATIO_BOUNDS: [f64; 10] = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// State of a role for the admin server.
pub trait StatusSource: Clone + Send + Sync + 'static {
    /// Whether the load balancer may send work, for `/readyz`.
    fn is_ready(&self) -> bool;

    /// Content of `/status`.
    fn status(&self) -> impl Future<Output = Value> + Send;
}

/// Installs the recorder for all metrics of the process.
pub fn install() -> Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &SECOND_BOUNDS)
        .wrap_err("set histogram bounds")?
        .set_buckets_for_metric(Matcher::Suffix("_ratio".into()), &RATIO_BOUNDS)
        .wrap_err("set histogram bounds")?
        .install_recorder()
        .wrap_err("install metrics recorder")
}

/// Status of a router or loader: only its readiness.
#[derive(Clone)]
struct SiteStatus(Arc<AtomicBool>);

impl StatusSource for SiteStatus {
    fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    async fn status(&self) -> Value {
        json!({ "ready": self.is_ready() })
    }
}

/// Starts the admin server of a router or loader on a thread of its own, until the process ends.
pub async fn start_site(
    address: SocketAddr,
    metrics: PrometheusHandle,
    is_ready: Arc<AtomicBool>,
    supervisor: &DutySupervisor,
) -> Result<()> {
    let listener = server::bind(address, "metrics address").await?;
    let listener = listener.into_std().wrap_err("hand over metrics address")?;
    supervisor.start_thread("telemetry", move || async move {
        // The sender is kept and never used, so this duty runs until the process ends.
        let (_keep, stopping) = watch::channel(false);
        let listener = TcpListener::from_std(listener).expect("a bound, non-blocking listener");
        run(listener, metrics, SiteStatus(is_ready), stopping).await;
    })?;
    Ok(())
}

#[derive(Clone)]
struct AdminHandler<S> {
    metrics: PrometheusHandle,
    source: S,
}

impl<S: StatusSource> HttpHandler for AdminHandler<S> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> HttpReply {
        if request.method() != Method::GET {
            return text_reply(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
        }
        match request.uri().path() {
            "/metrics" => {
                let text = self.metrics.render().into_bytes();
                typed_reply(StatusCode::OK, "text/plain; version=0.0.4", text)
            }
            "/status" => json_reply(StatusCode::OK, &self.source.status().await),
            "/healthz" => text_reply(StatusCode::OK, "ok\n"),
            "/readyz" if self.source.is_ready() => text_reply(StatusCode::OK, "ready\n"),
            "/readyz" => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => text_reply(
                StatusCode::NOT_FOUND,
                "there are /metrics, /status, /healthz and /readyz\n",
            ),
        }
    }
}

/// Runs the admin server until `stopping` turns true.
pub async fn run<S: StatusSource>(
    listener: TcpListener,
    metrics: PrometheusHandle,
    source: S,
    stopping: watch::Receiver<bool>,
) {
    let upkeep = metrics.clone();
    tokio::spawn(async move {
        let mut ticks = interval(UPKEEP_PAUSE);
        loop {
            ticks.tick().await;
            upkeep.run_upkeep();
        }
    });
    let handler = AdminHandler { metrics, source };
    serve(listener, handler, ServerOptions { connections: ADMIN_CONNECTIONS }, stopping).await;
}
