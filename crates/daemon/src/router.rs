//! The router role: accepts callers' requests, chooses a target for each, and calls it directly.

mod admission;
mod advertised_state;
mod answers;
mod callers;
mod connections;
mod constants;
mod context;
mod control;
mod crash_updates;
mod crashes;
mod eras;
mod exchange;
mod follow;
mod journal;
mod limits;
mod links;
mod overload;
mod peers;
mod permits;
mod progress;
mod readiness;
mod relay;
mod sharing;
mod slots;
mod stopping;
mod streams;

use crate::{
    clock,
    duty::{self, supervisor::DutySupervisor},
    logging,
    options::site::{RouterFile, SiteSettings},
    reload, telemetry,
};
use context::{RouterContext, RouterProcess};
use control::{
    ControlInputs,
    context::{ControlEvent, listed_targets},
};
use eyre::{Result, WrapErr};
use metrics::gauge;
use plantain_core::{
    direct::{
        directory::PeerView,
        membership::{InstanceId, ListChange, TargetEntry},
        targets::TargetPool,
    },
    ids::Timestamp,
};
use plantain_net::server;
use plantain_platform::objects::{FollowedChange, FollowedKind};
use slog::{info, warn};
use std::{
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Builder,
    sync::{mpsc, watch},
    task::LocalSet,
    time::{interval, timeout},
};

/// Runs a router until the stop signal, then waits for the calls in flight.
pub fn run(site: &SiteSettings<RouterFile>) -> Result<()> {
    let settings = Arc::clone(&site.file);
    let (logger, _flush) = logging::start_named(&settings.name, site.log_level, "router");
    let metrics = telemetry::install()?;
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    LocalSet::new().block_on(&runtime, async {
        let callers = server::bind(settings.listen, "callers' address").await?;
        let ready = server::bind(settings.ready, "readiness address").await?;
        let link_address = SocketAddr::new(settings.listen.ip(), settings.link_port);
        let link = UdpSocket::bind(link_address).await.wrap_err("bind link to loaders")?;
        let supervisor = DutySupervisor::new(logger.clone());
        supervisor.log_panics();
        let stopping = duty::supervised_stop_signal(&supervisor)?;
        let is_ready = Arc::new(AtomicBool::new(false));
        telemetry::start_site(site.metrics, metrics, Arc::clone(&is_ready), &supervisor).await?;
        let process = RouterProcess { boot: rand::random(), is_ready, stopping, supervisor };
        let context = RouterContext::new(Arc::clone(&settings), process, logger.clone());
        let settings = reload::follow(site, &logger, &context.supervisor)?;
        let peers = watch::channel(PeerView::default());
        let events = start_control(&settings, peers.1, &context).await?;
        let inputs = ServingInputs { settings, peers: peers.0, events, ready, link };
        start_duties(inputs, &context);
        info!(logger, "router listens"; "step" => "start",
            "listen" => %context.settings.borrow().listen);
        callers::run(callers, Rc::clone(&context)).await;
        info!(logger, "router ends"; "step" => "stop", "in_flight" => context.calls.get());
        context.supervisor.check()
    })
}

/// Inputs of the serving thread's duties.
struct ServingInputs {
    settings: watch::Receiver<Arc<RouterFile>>,
    peers: watch::Sender<PeerView>,
    events: mpsc::Receiver<ControlEvent>,
    ready: TcpListener,
    link: UdpSocket,
}

/// Starts the serving thread's duties beside the callers' connections.
fn start_duties(inputs: ServingInputs, context: &Rc<RouterContext>) {
    let ServingInputs { settings, peers, events, ready, link } = inputs;
    let (peers, ready, link) = (Rc::new(peers), Rc::new(ready), Rc::new(link));
    let supervisor = &context.supervisor;
    let own = Rc::clone(context);
    supervisor.spawn("settings", move || follow_settings(settings.clone(), Rc::clone(&own)));
    // An event that was being applied is lost, and is not sent again.
    supervisor.spawn_vital("events", take_events(events, Rc::clone(context)));
    let own = Rc::clone(context);
    supervisor.spawn("maintenance", move || run_maintenance(Rc::clone(&own)));
    let own = Rc::clone(context);
    supervisor.spawn("lag", move || overload::watch_lag(Rc::clone(&own)));
    let own = Rc::clone(context);
    supervisor.spawn("routers", move || publish_peers(Rc::clone(&peers), Rc::clone(&own)));
    let own = Rc::clone(context);
    supervisor.spawn("readiness", move || readiness::serve(Rc::clone(&ready), Rc::clone(&own)));
    let own = Rc::clone(context);
    supervisor.spawn("link", move || links::run(Rc::clone(&link), Rc::clone(&own)));
}

async fn start_control(
    settings: &watch::Receiver<Arc<RouterFile>>,
    peers: watch::Receiver<PeerView>,
    context: &RouterContext,
) -> Result<mpsc::Receiver<ControlEvent>> {
    let address = settings.borrow().peer_listen;
    let listener = server::bind(address, "peers' address").await?;
    let listener = listener.into_std().wrap_err("hand over peers' address")?;
    let (sender, events) = mpsc::channel(control::QUEUE_CAPACITY);
    let inputs = ControlInputs {
        settings: settings.clone(),
        peers,
        boot: context.boot,
        crashes: context.crashes.subscribe(),
        events: sender,
        listener,
        logger: context.logger.clone(),
        supervisor: context.supervisor.clone(),
    };
    context.supervisor.start_thread("control", move || control::run(inputs))?;
    Ok(events)
}

async fn follow_settings(
    mut settings: watch::Receiver<Arc<RouterFile>>,
    context: Rc<RouterContext>,
) {
    while settings.changed().await.is_ok() {
        let fresh = Arc::clone(&settings.borrow_and_update());
        context.limits.set_terms(fresh.bounds.limits.terms());
        *context.settings.borrow_mut() = fresh;
    }
}

/// Applies the events of the control thread.
async fn take_events(mut events: mpsc::Receiver<ControlEvent>, context: Rc<RouterContext>) {
    while let Some(event) = events.recv().await {
        apply_event(event, &context);
        readiness::update(&context);
    }
}

fn apply_event(event: ControlEvent, context: &RouterContext) {
    let now = clock::now();
    match event {
        ControlEvent::Listed(FollowedKind::Targets, changes) => {
            let entries = listed_targets(&changes);
            log_list(&entries, context);
            context.pool.borrow_mut().replace_list(entries, now);
        }
        ControlEvent::Listed(kind, changes) => {
            apply_changes(changes, context, now);
            if kind == FollowedKind::Crashes {
                context.routers_mut().note_listed();
            }
        }
        ControlEvent::Changed(changes) => apply_changes(changes, context, now),
        ControlEvent::Returned => {
            let mut pool = context.pool.borrow_mut();
            pool.note_return(now);
            info!(context.logger, "draining targets held until the store shows them again";
                "step" => "targets", "targets" => pool.held_draining());
        }
        ControlEvent::Lost(FollowedKind::Targets) => context.pool.borrow_mut().note_outage(),
        ControlEvent::Regained(FollowedKind::Targets) => {
            context.pool.borrow_mut().note_contact(now);
        }
        ControlEvent::Lost(FollowedKind::Config) => context.may_be_outdated.set(true),
        ControlEvent::Regained(FollowedKind::Config) => context.may_be_outdated.set(false),
        ControlEvent::Lost(FollowedKind::Crashes) => context.routers_mut().set_lost(true, now),
        ControlEvent::Regained(FollowedKind::Crashes) => context.routers_mut().set_lost(false, now),
        ControlEvent::Lost(FollowedKind::Releases)
        | ControlEvent::Regained(FollowedKind::Releases) => {}
    }
}

fn apply_changes(changes: Vec<FollowedChange>, context: &RouterContext, now: Timestamp) {
    let mut pool = context.pool.borrow_mut();
    let mut list = Vec::new();
    let mut has_new_config = false;
    for change in changes {
        match change {
            FollowedChange::Config(config) => {
                let (number, routes) = (config.number, config.route_count());
                if pool.take_config(config) {
                    has_new_config = true;
                    info!(context.logger, "configuration in force"; "step" => "config",
                        "config" => number, "routes" => routes);
                }
            }
            FollowedChange::Release(release) => {
                info!(context.logger, "version announced"; "step" => "release",
                    "adapter" => %release.adapter.name, "version" => release.version);
                pool.take_release(release);
            }
            FollowedChange::Crashes(report) => context.take_crashes(&report, now),
            FollowedChange::Target(change) => list.push(change),
        }
    }
    if !list.is_empty() {
        log_targets(list.iter(), &pool, context);
        pool.apply_changes(&list, now);
    }
    drop(pool);
    if has_new_config {
        links::follow_meters(context, now);
    }
}

/// Logs the size of a full list and, unless it is the first one, the targets that it changes.
fn log_list(entries: &[Arc<TargetEntry>], context: &RouterContext) {
    info!(context.logger, "list of targets"; "step" => "targets", "targets" => entries.len());
    let pool = context.pool.borrow();
    let mut gone: HashSet<&InstanceId> =
        pool.entries().map(|entry| &entry.incarnation.id).collect();
    if gone.is_empty() {
        return;
    }
    for entry in entries {
        gone.remove(&entry.incarnation.id);
    }
    let put = entries.iter().map(|entry| ListChange::Put(Arc::clone(entry)));
    let removed = gone.into_iter().map(|id| ListChange::Removed(Arc::clone(id)));
    let changes: Vec<ListChange> = put.chain(removed).collect();
    log_targets(changes.iter(), &pool, context);
}

/// Logs up to [`constants::TARGET_LINES`] changes that affect which targets get calls, and the number of further ones
/// in a single line: when every target restarts, each router would otherwise log every target.
fn log_targets<'a>(
    changes: impl Iterator<Item = &'a ListChange>,
    pool: &TargetPool,
    context: &RouterContext,
) {
    let routing_changes: Vec<&ListChange> =
        changes.filter(|change| affects_routing(change, pool)).collect();
    for change in routing_changes.iter().take(constants::TARGET_LINES) {
        log_target(change, pool, context);
    }
    if routing_changes.len() > constants::TARGET_LINES {
        info!(context.logger, "more targets changed"; "step" => "targets",
            "targets" => routing_changes.len() - constants::TARGET_LINES);
    }
}

/// Whether a change affects which targets get calls.
fn affects_routing(change: &ListChange, pool: &TargetPool) -> bool {
    match change {
        ListChange::Removed(_) => true,
        ListChange::Put(entry) => {
            let known = pool.target(&entry.incarnation);
            known.is_none_or(|known| known.entry.is_draining != entry.is_draining)
        }
    }
}

fn log_target(change: &ListChange, pool: &TargetPool, context: &RouterContext) {
    let logger = &context.logger;
    match change {
        ListChange::Removed(id) => {
            info!(logger, "target gone"; "step" => "targets", "target" => &**id);
        }
        ListChange::Put(entry) => match pool.target(&entry.incarnation) {
            None => {
                info!(logger, "target new"; "step" => "targets", "target" => &*entry.incarnation.id,
                    "started" => entry.incarnation.started,
                    "address" => %entry.address, "generation" => entry.generation);
            }
            Some(known) if entry.is_draining && !known.entry.is_draining => {
                info!(logger, "target leaves"; "step" => "targets", "target" => &*entry.incarnation.id,
                    "started" => entry.incarnation.started);
            }
            Some(known) if known.entry.is_draining && !entry.is_draining => {
                info!(logger, "target stays"; "step" => "targets", "target" => &*entry.incarnation.id,
                    "started" => entry.incarnation.started);
            }
            Some(_) => {}
        },
    }
}

/// Logs the number of other routers whose reports were read.
#[derive(Default)]
struct RouterCountLog {
    logged: usize,
    logged_at: Timestamp,
}

impl RouterCountLog {
    /// Writes a line if the number has changed, at most once a second.
    fn log(&mut self, context: &RouterContext, now: Timestamp) {
        let count = context.routers_mut().report_count();
        if count != self.logged && now.saturating_sub(self.logged_at) >= Duration::from_secs(1) {
            info!(context.logger, "routers known by their reports"; "step" => "routers",
                "routers" => count);
            (self.logged, self.logged_at) = (count, now);
        }
    }
}

/// Runs the periodic tasks: expires old state, detects crashes, prefetches adapters in high demand, and detects
/// suspensions of the process.
async fn run_maintenance(context: Rc<RouterContext>) {
    let mut ticks = interval(constants::TICK);
    let mut last = clock::now();
    let mut count_log = RouterCountLog::default();
    loop {
        ticks.tick().await;
        let now = clock::now();
        let gap = now.saturating_sub(last);
        last = now;
        if gap > constants::SUSPENSION {
            warn!(context.logger, "process was suspended"; "step" => "suspension",
                "gap_ms" => gap.as_millis() as u64);
            context.connections.clear();
        }
        context.pool.borrow_mut().expire(now);
        context.detect_crashes(now);
        context.routers_mut().expire(now);
        count_log.log(&context, now);
        context.connections.expire(now);
        context.streams.refresh(&context, now);
        context.prefetch(now);
        context.probe_silent_hosts(now);
        links::follow_meters(&context, now);
        slots::follow_slots(&context);
        readiness::update(&context);
        gauge!(telemetry::names::BODY_BYTES).set(context.bodies.held() as f64);
        gauge!("plantain_answer_bytes").set(context.answers.used() as f64);
    }
}

/// Sends the view of the other routers to the control thread whenever it changes.
async fn publish_peers(peers: Rc<watch::Sender<PeerView>>, context: Rc<RouterContext>) {
    loop {
        let known = context.peer_view();
        peers.send_if_modified(|peers| {
            let is_changed = *peers != known;
            *peers = known;
            is_changed
        });
        let _ = timeout(constants::TICK, context.routers_changed.notified()).await;
    }
}
