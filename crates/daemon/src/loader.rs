//! The loader role: the only process that orders loads and unloads at the engine beside it.

mod engine;

use crate::{
    clock, duty, logging,
    options::site::{LoaderFile, SiteSettings},
    reload, telemetry,
};
use engine::EngineClient;
use eyre::{Result, WrapErr};
use metrics::{counter, gauge, histogram};
use plantain_core::{
    direct::{
        loader::{LoaderMachine, LoaderStep},
        messages::{LoaderReport, RouterNotice},
        orders::{EngineOrder, OrderAnswer, OrderVerb},
    },
    ids::Timestamp,
};
use slog::{Logger, info, warn};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    runtime::Builder,
    sync::watch,
    task::LocalSet,
    time::{sleep, timeout},
};

/// Largest datagram.
const DATAGRAM_LIMIT: usize = 16 << 10;
/// Pause between reports to a router while nothing changes; routers trust one for 2.5 s.
const REPORT_PAUSE: Duration = Duration::from_millis(800);
/// Shortest pause between reports to a router none of whose calls wait for an adapter. Every loader
/// tells every router, so this bounds what a small router spends on reading reports: 40 loaders at
/// ten a second each took about a quarter of its processor time.
const REPORT_GAP: Duration = Duration::from_millis(400);
/// Pause after which a router is told again that an adapter is there for which its calls wait:
/// datagrams are lost at times.
const AWAITED_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a notice before the engine is looked at again.
const NOTICE_WAIT: Duration = Duration::from_millis(100);
/// Pause between lines about the engine not answering.
const DARK_LOG_PAUSE: Duration = Duration::from_secs(2);

/// Runs a loader until it is told to stop.
pub fn run(site: &SiteSettings<LoaderFile>) -> Result<()> {
    let settings = Arc::clone(&site.file);
    let (logger, _flush) = logging::start_named(&settings.name, site.log_level, "loader");
    let metrics = telemetry::install()?;
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    LocalSet::new().block_on(&runtime, async {
        let address = SocketAddr::new(settings.host, settings.link_port);
        let socket = UdpSocket::bind(address).await.wrap_err("bind link to routers")?;
        let stopping = duty::stop_signal()?;
        let is_ready = Arc::new(AtomicBool::new(true));
        telemetry::start_site(site.metrics, metrics, is_ready, &logger).await?;
        let settings = reload::follow(site, logger.clone())?;
        info!(logger, "loader listens"; "step" => "start", "listen" => %address,
            "engine" => %settings.borrow().engine);
        let duty = LoaderDuty::new(settings, socket, logger.clone());
        duty.run(stopping).await;
        info!(logger, "loader ends"; "step" => "stop");
        Ok(())
    })
}

struct LoaderDuty {
    machine: LoaderMachine,
    engine: EngineClient,
    settings: watch::Receiver<Arc<LoaderFile>>,
    socket: UdpSocket,
    logger: Logger,
    last: Option<LoaderReport>,
    sent: HashMap<SocketAddr, SentReport>,
    dark_logged: Timestamp,
    is_dark: bool,
}

/// What a router was last told.
struct SentReport {
    at: Timestamp,
    is_current: bool,
}

impl LoaderDuty {
    fn new(settings: watch::Receiver<Arc<LoaderFile>>, socket: UdpSocket, logger: Logger) -> Self {
        let zone = Arc::clone(&settings.borrow().zone);
        Self {
            machine: LoaderMachine::new(rand::random(), zone),
            engine: EngineClient::new(),
            settings,
            socket,
            logger,
            last: None,
            sent: HashMap::new(),
            dark_logged: Duration::ZERO,
            is_dark: false,
        }
    }

    async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            self.take_datagrams(&mut buffer);
            let step = self.machine.next_step(clock::now());
            tokio::select! {
                () = self.perform(step, &mut buffer) => {}
                _ = stopping.wait_for(|stop| *stop) => return,
            }
            self.publish();
        }
    }

    fn take_datagrams(&mut self, buffer: &mut [u8]) {
        while let Ok((length, router)) = self.socket.try_recv_from(buffer) {
            self.take_datagram(&buffer[..length], router);
        }
    }

    fn take_datagram(&mut self, datagram: &[u8], router: SocketAddr) {
        match postcard::from_bytes::<RouterNotice>(datagram) {
            Ok(notice) => self.machine.take_notice(router, notice, clock::now()),
            Err(_) => counter!("plantain_link_faults_total").increment(1),
        }
    }

    async fn perform(&mut self, step: LoaderStep, buffer: &mut [u8]) {
        let engine = self.settings.borrow().engine;
        match step {
            LoaderStep::Poll => match self.engine.report(engine).await {
                Ok(report) => {
                    gauge!("plantain_running").set(f64::from(report.active));
                    gauge!("plantain_queued").set(f64::from(report.queued));
                    self.machine.take_report(report, clock::now());
                    self.note_answering();
                }
                Err(error) => self.note_silence(&error),
            },
            LoaderStep::Identify => match self.engine.identify(engine).await {
                Ok(instance) => {
                    info!(self.logger, "engine identified"; "step" => "identify",
                        "instance" => &*instance);
                    self.machine.take_instance(instance);
                }
                Err(error) => self.note_silence(&error),
            },
            LoaderStep::Order(order) => self.give_order(order, engine).await,
            LoaderStep::Wait(until) => {
                let pause = until.saturating_sub(clock::now()).min(NOTICE_WAIT);
                let received = timeout(pause, self.socket.recv_from(buffer)).await;
                if let Ok(Ok((length, router))) = received {
                    self.take_datagram(&buffer[..length], router);
                }
            }
        }
    }

    async fn give_order(&mut self, order: EngineOrder, engine: SocketAddr) {
        let holder = Arc::clone(&self.settings.borrow().name);
        let began = clock::now();
        let (answer, detail) = self.engine.order(engine, &order, &holder).await;
        let took = clock::now().saturating_sub(began);
        histogram!("plantain_order_seconds").record(took.as_secs_f64());
        count_order(&order, answer);
        let (verb, adapter) = describe(&order);
        let (far_loads, transit) = self.machine.transit();
        info!(self.logger, "order given"; "step" => "order", "verb" => verb, "adapter" => adapter,
            "order_count" => order.order_count, "instance" => &*order.life.id, "started" => order.life.started,
            "report_age_ms" => self.machine.report_age(began).as_millis() as u64,
            "far_loads" => far_loads, "window" => transit.window(),
            "load_ms" => transit.expected().as_millis() as u64, "answer" => ?answer, "detail" => detail, "took_ms" => took.as_millis() as u64);
        self.machine.take_answer(&order, answer, clock::now());
        if answer == OrderAnswer::Refused {
            // The engine may be busy with something that its report does not show.
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn note_answering(&mut self) {
        if std::mem::take(&mut self.is_dark) {
            info!(self.logger, "engine regained"; "step" => "engine");
        }
    }

    fn note_silence(&mut self, error: &eyre::Report) {
        let now = clock::now();
        self.machine.note_silence(now);
        if !self.is_dark || now.saturating_sub(self.dark_logged) > DARK_LOG_PAUSE {
            self.dark_logged = now;
            warn!(self.logger, "engine lost"; "step" => "engine",
                "error" => %format!("{error:#}"));
        }
        self.is_dark = true;
    }

    /// Tells routers what changed, and all of it now and then.
    fn publish(&mut self) {
        let now = clock::now();
        let Some(report) = self.machine.make_report(now) else { return };
        let is_news = self.last.as_ref().is_none_or(|last| !is_same(last, &report));
        if is_news {
            for sent in self.sent.values_mut() {
                sent.is_current = false;
            }
        }
        let routers: Vec<(SocketAddr, bool)> = self.machine.routers().collect();
        self.sent.retain(|router, _| routers.iter().any(|(known, _)| known == router));
        let mut datagram = None;
        for (router, is_awaited) in routers {
            let is_due = self.sent.get(&router).is_none_or(|sent| {
                let age = now.saturating_sub(sent.at);
                age >= REPORT_PAUSE
                    || (!sent.is_current && (is_awaited || age >= REPORT_GAP))
                    || (is_awaited && age >= AWAITED_PAUSE)
            });
            if !is_due {
                continue;
            }
            let datagram = datagram.get_or_insert_with(|| postcard::to_allocvec(&report));
            if let Ok(datagram) = datagram {
                // One that does not go out now is made up for by the next.
                let _ = self.socket.try_send_to(datagram, router);
            }
            self.sent.insert(router, SentReport { at: now, is_current: true });
        }
        self.last = Some(report);
    }
}

/// Whether two reports say the same of what the engine holds; loads of its batch change all the time
/// and can wait for the next turn.
fn is_same(one: &LoaderReport, other: &LoaderReport) -> bool {
    one.life == other.life
        && one.is_answering == other.is_answering
        && one.is_leaving == other.is_leaving
        && one.holdings == other.holdings
        && one.coming == other.coming
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
