//! The loader role: the only process that orders loads and unloads at the engine on its host.

mod engine;

use crate::{
    clock,
    duty::{self, supervisor::DutySupervisor},
    logging,
    options::site::{LoaderFile, SiteSettings},
    reload, telemetry,
};
use engine::EngineClient;
use eyre::{Result, WrapErr};
use metrics::{counter, gauge, histogram};
use plantain_core::{
    direct::{
        concurrency::coordinator::SlotCoordinator,
        directory::PresenceRegistry,
        limits::meter::UsageMeter,
        loader::{LoaderMachine, LoaderStep},
        membership::InstanceId,
        messages::{LoaderMessage, RouterMessage, decode_datagram},
        orders::{EngineOrder, EngineReport, OrderAnswer, OrderVerb},
        streams::{
            StreamOrigin,
            claims::ClaimTable,
            messages::{StreamAnswer, StreamReceipt},
            records::StreamRecords,
        },
        target_limit::LimitTable,
    },
    ids::Timestamp,
};
use slog::{Logger, info, warn};
use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};
use tokio::{net::UdpSocket, runtime::Builder, sync::watch, task::LocalSet, time::sleep};

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 16 << 10;
/// Longest wait for a notice before the loader decides on its next step again.
const NOTICE_WAIT: Duration = Duration::from_millis(100);
/// Interval between log lines while the engine does not answer.
const SILENCE_LOG_PAUSE: Duration = Duration::from_secs(2);

/// Runs a loader until the stop signal.
pub fn run(site: &SiteSettings<LoaderFile>) -> Result<()> {
    let settings = Arc::clone(&site.file);
    let (logger, _flush) = logging::start_named(&settings.name, site.log_level, "loader");
    let metrics = telemetry::install()?;
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    LocalSet::new().block_on(&runtime, async {
        let address = SocketAddr::new(settings.host, settings.link_port);
        let socket = UdpSocket::bind(address).await.wrap_err("bind link to routers")?;
        let supervisor = DutySupervisor::new(logger.clone());
        supervisor.log_panics();
        let stopping = duty::supervised_stop_signal(&supervisor)?;
        let is_ready = Arc::new(AtomicBool::new(true));
        telemetry::start_site(site.metrics, metrics, is_ready, &supervisor).await?;
        let settings = reload::follow(site, &logger, &supervisor)?;
        info!(logger, "loader listens"; "step" => "start", "listen" => %address,
            "engine" => %settings.borrow().engine);
        let runner = LoaderRunner::new(settings, socket, logger.clone());
        runner.run(stopping).await;
        info!(logger, "loader ends"; "step" => "stop");
        supervisor.check()
    })
}

struct LoaderRunner {
    machine: LoaderMachine,
    registry: PresenceRegistry,
    meter: UsageMeter,
    coordinator: SlotCoordinator,
    limits: LimitTable,
    streams: StreamRecords,
    claims: ClaimTable,
    engine: Rc<EngineClient>,
    settings: watch::Receiver<Arc<LoaderFile>>,
    socket: UdpSocket,
    logger: Logger,
    silence_logged: Timestamp,
    is_unresponsive: bool,
}

/// Result of a step: the engine's answer, or the end of a wait.
enum StepResult {
    Reported(Result<EngineReport>),
    Identified(Result<InstanceId>),
    Ordered(EngineOrder, OrderAnswer, Option<String>),
    Waited,
}

impl LoaderRunner {
    fn new(settings: watch::Receiver<Arc<LoaderFile>>, socket: UdpSocket, logger: Logger) -> Self {
        Self {
            machine: LoaderMachine::new(rand::random()),
            registry: PresenceRegistry::default(),
            meter: UsageMeter::new(rand::random()),
            coordinator: SlotCoordinator::default(),
            limits: LimitTable::default(),
            streams: StreamRecords::default(),
            claims: ClaimTable::default(),
            engine: Rc::new(EngineClient::new()),
            settings,
            socket,
            logger,
            silence_logged: Duration::ZERO,
            is_unresponsive: false,
        }
    }

    async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            let step = self.machine.next_step(clock::now());
            tokio::select! {
                () = self.take_step(step, &mut buffer) => {}
                _ = stopping.wait_for(|stop| *stop) => return,
            }
            self.send_reports();
        }
    }

    /// Takes a step, and answers routers while the engine's answer is pending: calls wait for these reports, and the
    /// engine may be slow.
    async fn take_step(&mut self, step: LoaderStep, buffer: &mut [u8]) {
        let is_wait = matches!(step, LoaderStep::Wait(_));
        let began = clock::now();
        let mut engine_call = pin!(self.engine_call(step));
        let end = loop {
            tokio::select! {
                end = &mut engine_call => break end,
                received = self.socket.recv_from(buffer) => {
                    if let Ok((length, router)) = received {
                        self.take_datagram(&buffer[..length], router);
                        self.take_queued(buffer);
                    }
                    if is_wait {
                        // New load requests may change the next step.
                        break StepResult::Waited;
                    }
                    self.send_reports();
                }
            }
        };
        self.apply(end, began).await;
    }

    /// Performs a step at the engine; the future does not borrow `self`.
    fn engine_call(&self, step: LoaderStep) -> impl Future<Output = StepResult> + use<> {
        let engine = Rc::clone(&self.engine);
        let address = self.settings.borrow().engine;
        let holder = Arc::clone(&self.settings.borrow().name);
        async move {
            match step {
                LoaderStep::Poll => StepResult::Reported(engine.report(address).await),
                LoaderStep::Identify => StepResult::Identified(engine.identify(address).await),
                LoaderStep::Order(order) => {
                    let (answer, detail) = engine.order(address, &order, &holder).await;
                    StepResult::Ordered(order, answer, detail)
                }
                LoaderStep::Wait(until) => {
                    sleep(until.saturating_sub(clock::now()).min(NOTICE_WAIT)).await;
                    StepResult::Waited
                }
            }
        }
    }

    fn take_queued(&mut self, buffer: &mut [u8]) {
        while let Ok((length, router)) = self.socket.try_recv_from(buffer) {
            self.take_datagram(&buffer[..length], router);
        }
    }

    fn take_datagram(&mut self, datagram: &[u8], router: SocketAddr) {
        let now = clock::now();
        match decode_datagram::<RouterMessage>(datagram) {
            Ok(RouterMessage::Notice(notice)) => self.machine.take_notice(router, notice, now),
            Ok(RouterMessage::Presence(presence)) => {
                self.limits.take(&presence.limit_updates, now);
                let mut directory = self.registry.take(&presence, now);
                directory.limit_updates = self.limits.answer(&presence.limit_updates, now);
                self.claims.take(&presence.claims, now);
                directory.claims = self.claims.list(now);
                self.send(&LoaderMessage::Directory(directory), &[router]);
            }
            Ok(RouterMessage::Usage(report)) => {
                self.limits.take(&report.limit_updates, now);
                if let Some(grant) = self.meter.take(&report, &self.limits, now) {
                    self.send(&LoaderMessage::Grant(grant), &[router]);
                }
                for start in self.meter.take_start_levels() {
                    let result = if start.units > 0.0 { "left" } else { "empty" };
                    counter!("plantain_limit_starts_total", "result" => result).increment(1);
                    info!(self.logger, "limit new to this meter"; "step" => "limit start",
                        "limit" => start.tag, "units" => start.units,
                        "ms" => start.age.as_millis() as u64);
                }
            }
            Ok(RouterMessage::Slots(report)) => {
                for (router, grant) in self.coordinator.take(router, &report, now) {
                    self.send(&LoaderMessage::Slots(grant), &[router]);
                }
            }
            Ok(RouterMessage::Streams(notice)) => {
                self.streams.take_notice(&notice, now);
                gauge!("plantain_stream_records").set(self.streams.len() as f64);
                let receipt = StreamReceipt { sequence: notice.sequence };
                self.send(&LoaderMessage::StreamReceipt(receipt), &[router]);
            }
            Ok(RouterMessage::StreamQuery(query)) => {
                let origin = self.streams.find(query.stream(), now);
                count_stream_query(origin);
                let answer = StreamAnswer::new(query.stream(), origin);
                self.send(&LoaderMessage::StreamAnswer(answer), &[router]);
            }
            Err(_) => counter!("plantain_link_faults_total").increment(1),
        }
    }

    async fn apply(&mut self, end: StepResult, began: Timestamp) {
        let now = clock::now();
        match end {
            StepResult::Reported(Ok(report)) => {
                gauge!("plantain_running").set(f64::from(report.active));
                gauge!("plantain_queued").set(f64::from(report.queued));
                self.note_capacity();
                self.machine.take_report(report, now);
                self.note_answering();
            }
            StepResult::Identified(Ok(instance)) => {
                info!(self.logger, "engine identified"; "step" => "identify",
                    "instance" => &*instance);
                self.machine.take_instance(instance);
            }
            StepResult::Reported(Err(error)) | StepResult::Identified(Err(error)) => {
                self.note_silence(&error);
            }
            StepResult::Ordered(order, answer, detail) => {
                self.note_order(&order, answer, detail, began).await;
            }
            StepResult::Waited => {}
        }
    }

    async fn note_order(
        &mut self,
        order: &EngineOrder,
        answer: OrderAnswer,
        detail: Option<String>,
        began: Timestamp,
    ) {
        let took = clock::now().saturating_sub(began);
        histogram!("plantain_order_seconds").record(took.as_secs_f64());
        count_order(order, answer);
        let (verb, adapter) = describe(order);
        let turn = self.machine.load_turn(&order.verb, began);
        if let Some(turn) = &turn {
            counter!("plantain_load_turns_total", "order" => turn.order.name()).increment(1);
        }
        let (weight_store_loads, load_limiter) = self.machine.load_limiter();
        info!(self.logger, "order given"; "step" => "order", "verb" => verb, "adapter" => adapter,
            "order_count" => order.order_count, "instance" => &*order.incarnation.id, "started" => order.incarnation.started,
            "report_age_ms" => self.machine.report_age(began).as_millis() as u64,
            "far_loads" => weight_store_loads, "window" => load_limiter.window(),
            "load_ms" => load_limiter.expected().as_millis() as u64, "answer" => ?answer, "detail" => detail, "took_ms" => took.as_millis() as u64,
            "turn" => turn.map(|turn| turn.to_string()));
        self.machine.take_answer(order, answer, clock::now());
        if answer == OrderAnswer::Refused {
            // The engine may be busy with work that its report does not show.
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Publishes the estimate of the engine's capacity, and logs it after a change.
    fn note_capacity(&mut self) {
        let capacity = self.machine.capacity();
        gauge!("plantain_prefill_rate").set(capacity.tokens_per_ms().unwrap_or_default());
        gauge!("plantain_run_ms").set(f64::from(capacity.run_ms()));
        if let Some(change) = self.machine.take_capacity_change() {
            info!(self.logger, "prefill rate changed"; "step" => "capacity", "old" => change.old,
                "new" => change.new, "sample" => ?change.kind,
                "sample_age_ms" => change.age.as_millis() as u64);
        }
    }

    fn note_answering(&mut self) {
        if std::mem::take(&mut self.is_unresponsive) {
            info!(self.logger, "engine regained"; "step" => "engine");
        }
    }

    fn note_silence(&mut self, error: &eyre::Report) {
        let now = clock::now();
        self.machine.note_silence(now);
        if !self.is_unresponsive || now.saturating_sub(self.silence_logged) > SILENCE_LOG_PAUSE {
            self.silence_logged = now;
            warn!(self.logger, "engine lost"; "step" => "engine",
                "error" => %format!("{error:#}"));
        }
        self.is_unresponsive = true;
    }

    /// Sends a report to the routers for which one is due.
    fn send_reports(&mut self) {
        let now = clock::now();
        let due = self.machine.take_due(now);
        if due.is_empty() {
            return;
        }
        if let Some(report) = self.machine.make_report(now) {
            self.send(&LoaderMessage::Report(report), &due);
        }
    }

    fn send(&self, message: &LoaderMessage, routers: &[SocketAddr]) {
        let datagram = match postcard::to_allocvec(message) {
            Ok(datagram) => datagram,
            Err(error) => {
                warn!(self.logger, "message not encoded"; "step" => "link", "error" => %error);
                return;
            }
        };
        let bytes = datagram.len() * routers.len();
        counter!("plantain_link_sent_bytes_total").increment(bytes as u64);
        for router in routers {
            // A datagram that cannot be sent now is dropped: routers request a report again.
            let _ = self.socket.try_send_to(&datagram, *router);
        }
    }
}

fn describe(order: &EngineOrder) -> (&'static str, String) {
    match &order.verb {
        OrderVerb::LoadBase(base) => ("load_base", base.to_string()),
        OrderVerb::LoadAdapter(id, version) => {
            ("load", format!("{}/{}@{version}", id.base, id.name))
        }
        OrderVerb::UnloadAdapter(id) => ("unload", format!("{}/{}", id.base, id.name)),
    }
}

fn count_stream_query(origin: StreamOrigin) {
    let result = match origin {
        StreamOrigin::Known(_) => "known",
        StreamOrigin::Unknown => "unknown",
        StreamOrigin::Ambiguous => "ambiguous",
    };
    counter!("plantain_stream_queries_total", "result" => result).increment(1);
}

fn count_order(order: &EngineOrder, answer: OrderAnswer) {
    let result = match answer {
        OrderAnswer::Accepted | OrderAnswer::Done => "taken",
        OrderAnswer::Conflict | OrderAnswer::WrongInstance | OrderAnswer::Refused => "refused",
        OrderAnswer::Silent => "silent",
    };
    match order.verb {
        OrderVerb::UnloadAdapter(_) => counter!("plantain_evictions_total").increment(1),
        _ => counter!("plantain_loads_total", "result" => result).increment(1),
    }
}
