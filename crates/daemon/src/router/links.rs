//! The UDP link to loaders: sends notices, presence and usage reports, receives reports, directories and grants.

use super::{constants, context::RouterContext};
use crate::clock;
use metrics::counter;
use plantain_core::{
    direct::{
        directory::{REGISTRY_LOADERS, RouterPresence, loaders_to_query, registry_targets},
        membership::{InstanceId, TargetIncarnation},
        messages::{LoaderMessage, LoaderReport, RouterMessage, decode_datagram},
        notices::NoticeSchedule,
    },
    ids::{Timestamp, ZoneName},
};
use serde::Serialize;
use slog::{info, warn};
use std::{
    collections::BTreeSet,
    future::pending,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    time::{interval, sleep},
};

/// Shortest wait for the next report on slots: the resolution of the timer.
const MIN_SLOT_PAUSE: Duration = Duration::from_millis(1);

/// Exchanges datagrams with the loaders until the process ends.
pub(crate) async fn run(socket: Rc<UdpSocket>, context: Rc<RouterContext>) {
    let schedule = NoticeSchedule::new(context.boot);
    let next_presence = clock::now();
    let mut link = LoaderLink { context, socket, schedule, presences: 0, next_presence };
    let mut ticks = interval(constants::NOTICE_POLL_PAUSE);
    let mut metric_ticks = interval(constants::PRESENCE_PAUSE);
    let mut buffer = vec![0; constants::DATAGRAM_LIMIT];
    let context = Rc::clone(&link.context);
    loop {
        tokio::select! {
            received = link.socket.recv_from(&mut buffer) => {
                if let Ok((length, sender)) = received {
                    link.take_datagram(&buffer[..length], sender);
                }
            }
            () = context.notice_wake.notified() => link.send_pending_notices(),
            () = context.limits.wake.notified() => link.send_usage(),
            () = context.slots.wake.notified() => link.send_slots(),
            () = next_slot_step(&context) => link.send_slots(),
            () = context.streams.wake.notified() => link.send_streams(),
            () = context.streams.next_notice() => link.send_streams(),
            _ = ticks.tick() => {
                link.send_due();
                link.send_usage();
                link.send_due_presence();
            }
            _ = metric_ticks.tick() => {
                let config = Arc::clone(context.pool.borrow().config());
                context.slots.update_metrics();
                context.limits.update_metrics(config.customers.rules(), clock::now());
            }
        }
    }
}

struct LoaderLink {
    context: Rc<RouterContext>,
    socket: Rc<UdpSocket>,
    schedule: NoticeSchedule,
    /// Number of presences sent to the registry.
    presences: usize,
    /// When the next presence is due.
    next_presence: Timestamp,
}

impl LoaderLink {
    fn take_datagram(&mut self, datagram: &[u8], sender: SocketAddr) {
        match decode_datagram::<LoaderMessage>(datagram) {
            Ok(LoaderMessage::Report(report)) => self.take_report(report, sender.ip()),
            Ok(LoaderMessage::Presence(presence)) => {
                let directory = self.context.registry.borrow_mut().take(&presence, clock::now());
                self.send(sender.ip(), &LoaderMessage::Directory(directory));
            }
            Ok(LoaderMessage::Directory(directory)) => {
                let now = clock::now();
                self.context.note_routers(&directory, now);
                self.context.apply_limit_updates(&directory.limit_updates, now);
                self.context.pool.borrow_mut().inherit_claims(&directory.claims, now);
            }
            Ok(LoaderMessage::Grant(grant)) => {
                let now = clock::now();
                self.context.apply_limit_updates(&grant.limit_updates, now);
                self.context.limits.take_grant(&grant, now);
                self.send_usage();
            }
            Ok(LoaderMessage::Slots(grant)) => {
                let from = {
                    let pool = self.context.pool.borrow();
                    let mut engines = pool.engines().filter(|engine| !engine.has_ended());
                    let engine = engines.find(|engine| engine.entry.address.ip() == sender.ip());
                    engine.map(|engine| engine.entry.incarnation.id.clone())
                };
                if let Some(from) = from {
                    self.context.slots.take_grant(&from, &grant, clock::now());
                    self.send_slots();
                }
            }
            Ok(LoaderMessage::StreamReceipt(receipt)) => {
                self.context.streams.acknowledge(sender.ip(), receipt.sequence);
            }
            Ok(LoaderMessage::StreamAnswer(answer)) => {
                self.context.streams.take_answer(sender.ip(), &answer);
            }
            Err(_) => counter!("plantain_link_faults_total").increment(1),
        }
    }

    /// Sends due notices and queries on streams to the loaders that record them.
    fn send_streams(&self) {
        let now = clock::now();
        for (host, query) in self.context.streams.take_queries(now) {
            self.send(host, &RouterMessage::StreamQuery(query));
        }
        for (host, notice) in self.context.streams.take_notices(now) {
            self.send(host, &RouterMessage::Streams(notice));
        }
    }

    /// Sends due reports on slots to the coordinators.
    fn send_slots(&self) {
        for (target, report) in self.context.slots.take_reports(clock::now()) {
            let host = {
                let pool = self.context.pool.borrow();
                let engine = pool.engines().find(|engine| engine.entry.incarnation.id == target);
                engine.map(|engine| engine.entry.address.ip())
            };
            if let Some(host) = host {
                self.send(host, &RouterMessage::Slots(report));
            }
        }
    }

    /// Sends due usage reports to the meters.
    fn send_usage(&self) {
        let now = clock::now();
        let limit_updates = self.context.pool.borrow().limit_updates(now);
        for (target, report) in self.context.limits.take_reports(&limit_updates, now) {
            let host = {
                let pool = self.context.pool.borrow();
                let meter = pool.engines().find(|engine| engine.entry.incarnation.id == target);
                meter.map(|engine| engine.entry.address.ip())
            };
            if let Some(host) = host {
                self.send(host, &RouterMessage::Usage(report));
            }
        }
    }

    fn take_report(&mut self, report: LoaderReport, host: IpAddr) {
        let now = clock::now();
        let incarnation = report.incarnation.clone();
        let mut pool = self.context.pool.borrow_mut();
        let was_silent =
            pool.target(&incarnation).is_some_and(|target| target.is_loader_silent(now));
        let is_new = pool.take_report(host, report, now);
        drop(pool);
        if is_new {
            if was_silent {
                info!(self.context.logger, "loader regained"; "step" => "link",
                    "target" => &*incarnation.id, "started" => incarnation.started);
            }
            self.context.wake_waiters(&incarnation);
        }
    }

    fn send_pending_notices(&mut self) {
        let pending_notices = std::mem::take(&mut *self.context.pending_notices.borrow_mut());
        for incarnation in pending_notices {
            self.send_notice(&incarnation);
        }
    }

    /// Sends a notice to each loader for which one is due.
    fn send_due(&mut self) {
        let (now, routers) = (clock::now(), self.context.router_count());
        let due = {
            let pool = self.context.pool.borrow();
            self.schedule.due(&pool, routers, now, rand::random::<f64>)
        };
        for incarnation in due {
            self.send_notice(&incarnation);
        }
    }

    fn send_notice(&mut self, incarnation: &TargetIncarnation) {
        let notice = {
            let mut pool = self.context.pool.borrow_mut();
            let notice = self.schedule.make(&mut pool, incarnation, clock::now());
            notice.and_then(|notice| Some((pool.target(incarnation)?.entry.address.ip(), notice)))
        };
        let Some((host, notice)) = notice else { return };
        self.send(host, &RouterMessage::Notice(notice));
    }

    fn send_due_presence(&mut self) {
        let now = clock::now();
        if now < self.next_presence {
            return;
        }
        let pause = match self.presences {
            0 if self.context.is_starting() => constants::NOTICE_POLL_PAUSE,
            0..constants::EARLY_PRESENCES => constants::EARLY_PRESENCE_PAUSE,
            _ => constants::PRESENCE_PAUSE,
        };
        self.next_presence = now + pause;
        self.send_presence();
    }

    /// Registers at the loaders of this zone's registry: the first presence goes to all of them, and each later one to
    /// the next loader in rotation. Also queries the registries of other zones for their numbers of routers.
    fn send_presence(&mut self) {
        let (zone, address) = {
            let settings = self.context.settings.borrow();
            (Arc::clone(&settings.zone), settings.peer_listen)
        };
        let own = self.registry_hosts(&zone);
        if own.is_empty() {
            self.register_at_routers(&RouterPresence {
                zone,
                address,
                registers_here: true,
                limit_updates: Vec::new(),
                claims: Vec::new(),
            });
            return;
        }
        let limit_updates = self.context.pool.borrow().limit_updates(clock::now());
        let claims = self.context.pool.borrow().route_claims(clock::now());
        let round = self.presences;
        self.presences += 1;
        for host in loaders_to_query(&own, round, round) {
            let zone = Arc::clone(&zone);
            let presence = RouterPresence {
                zone,
                address,
                registers_here: true,
                limit_updates: limit_updates.clone(),
                claims: claims.clone(),
            };
            self.send(*host, &RouterMessage::Presence(presence));
        }
        let others = self.other_zones(&zone);
        for other in self.context.zones_to_ask(&others, round) {
            let hosts = self.registry_hosts(other);
            for host in loaders_to_query(&hosts, round, rand::random_range(0..REGISTRY_LOADERS)) {
                let zone = Arc::clone(&zone);
                let presence = RouterPresence {
                    zone,
                    address,
                    registers_here: false,
                    limit_updates: limit_updates.clone(),
                    claims: claims.clone(),
                };
                self.send(*host, &RouterMessage::Presence(presence));
            }
        }
    }

    /// Registers at the routers of the settings while no loader is known.
    fn register_at_routers(&self, presence: &RouterPresence) {
        let peers = self.context.settings.borrow().peers.clone();
        for peer in peers {
            self.send(peer.ip(), &LoaderMessage::Presence(presence.clone()));
        }
    }

    /// All zones except this router's own.
    fn other_zones(&self, own: &ZoneName) -> Vec<ZoneName> {
        let mut zones = all_zones(&self.context);
        zones.retain(|zone| zone != own);
        zones
    }

    /// Hosts of the loaders that form a zone's registry.
    fn registry_hosts(&self, zone: &ZoneName) -> Vec<IpAddr> {
        let registry = zone_registry(&self.context, zone);
        let pool = self.context.pool.borrow();
        let hosts = registry
            .iter()
            .filter_map(|id| pool.engines().find(|engine| engine.entry.incarnation.id == *id));
        hosts.map(|engine| engine.entry.address.ip()).collect()
    }

    fn send(&self, host: IpAddr, message: &impl Serialize) {
        let address = SocketAddr::new(host, self.context.settings.borrow().link_port);
        match postcard::to_allocvec(message) {
            Ok(datagram) => {
                counter!("plantain_link_sent_bytes_total").increment(datagram.len() as u64);
                // A datagram that cannot be sent now is dropped; the next one replaces it.
                drop(self.socket.try_send_to(&datagram, address));
            }
            Err(error) => {
                warn!(self.context.logger, "message not encoded"; "step" => "link",
                    "peer" => %address, "error" => %error);
            }
        }
    }
}

/// The zones of the settings and of all engines.
fn all_zones(context: &RouterContext) -> Vec<ZoneName> {
    let pool = context.pool.borrow();
    let settings = context.settings.borrow();
    let listed = pool.engines().map(|target| &target.entry.zone);
    let all: BTreeSet<&ZoneName> = settings.zones.keys().chain(listed).collect();
    all.into_iter().cloned().collect()
}

/// The targets whose loaders form a zone's registry.
fn zone_registry(context: &RouterContext, zone: &ZoneName) -> Vec<InstanceId> {
    let pool = context.pool.borrow();
    let alive = pool.engines().filter(|target| !target.is_draining() && !target.has_ended());
    let alive = alive.map(|target| (&target.entry.incarnation.id, &target.entry.zone));
    registry_targets(zone, alive)
}

/// Updates the limits and the meters. The loaders of all zones' registries are meters while a customer or a target has
/// a limit.
pub(crate) fn follow_meters(context: &RouterContext, now: Timestamp) {
    let config = Arc::clone(context.pool.borrow().config());
    let is_limited = config.customers.rules().iter().any(|customer| customer.limit.is_some())
        || context.pool.borrow().has_limit_updates(now);
    context.limits.set_limits(&config);
    let meters = if is_limited { registry_loaders(context) } else { Vec::new() };
    context.limits.set_fleet(context.fleet_size(now), meters, now);
}

/// The targets whose loaders form the registries of all zones.
pub(crate) fn registry_loaders(context: &RouterContext) -> Vec<InstanceId> {
    let zones = all_zones(context);
    let mut loaders: Vec<_> = zones.iter().flat_map(|zone| zone_registry(context, zone)).collect();
    loaders.sort_unstable();
    loaders.dedup();
    loaders
}

/// Waits until a report on slots may be due.
async fn next_slot_step(context: &RouterContext) {
    match context.slots.next_step() {
        Some(next) => sleep(next.saturating_sub(clock::now()).max(MIN_SLOT_PAUSE)).await,
        None => pending().await,
    }
}
