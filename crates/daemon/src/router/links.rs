//! The link to loaders: notices out, reports in, over UDP.

use super::{constants, context::RouterContext};
use crate::clock;
use metrics::counter;
use plantain_core::{
    direct::{
        membership::TargetLife,
        messages::{BootId, LoaderReport, RouterNotice},
        targets::TargetPool,
    },
    ids::Timestamp,
};
use slog::warn;
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
};
use tokio::{net::UdpSocket, time::interval};

/// Exchanges datagrams with the loaders for as long as the process lives.
pub(crate) async fn run(socket: UdpSocket, context: Rc<RouterContext>, boot: BootId) {
    let mut link = LoaderLink { context, boot, sequence: 0, sent: HashMap::new() };
    let mut ticks = interval(constants::WISH_PAUSE);
    let mut buffer = vec![0; constants::DATAGRAM_LIMIT];
    let context = Rc::clone(&link.context);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, loader)) = received {
                    link.take_report(&buffer[..length], loader.ip());
                }
            }
            () = context.hurry.notified() => link.send_hurried(&socket),
            _ = ticks.tick() => link.send_due(&socket),
        }
    }
}

struct LoaderLink {
    context: Rc<RouterContext>,
    boot: BootId,
    sequence: u32,
    sent: HashMap<TargetLife, Timestamp>,
}

impl LoaderLink {
    fn take_report(&mut self, datagram: &[u8], host: IpAddr) {
        let Ok(report) = postcard::from_bytes::<LoaderReport>(datagram) else {
            counter!("plantain_link_faults_total").increment(1);
            return;
        };
        let now = clock::now();
        let life = report.life.clone();
        self.context.note_routers(&report, now);
        if self.context.pool.borrow_mut().take_report(host, report, now) {
            self.context.wake_waiters(&life);
        }
    }

    fn send_hurried(&mut self, socket: &UdpSocket) {
        let hurried = std::mem::take(&mut *self.context.hurried.borrow_mut());
        for id in hurried {
            self.send(socket, &id);
        }
    }

    /// Sends to each loader whose turn it is.
    fn send_due(&mut self, socket: &UdpSocket) {
        let now = clock::now();
        let ids = self.context.pool.borrow().engine_lives();
        for id in &ids {
            let since =
                self.sent.get(id).map_or(constants::NOTICE_PAUSE, |at| now.saturating_sub(*at));
            let gap = {
                let pool = self.context.pool.borrow();
                let has_news = pool
                    .target(id)
                    .is_some_and(|target| target.has_wish() || target.has_untold_calls());
                if has_news { constants::NOTICE_GAP } else { constants::NOTICE_PAUSE }
            };
            if since >= gap {
                self.send(socket, id);
            }
        }
        self.sent.retain(|id, _| ids.contains(id));
    }

    fn send(&mut self, socket: &UdpSocket, life: &TargetLife) {
        let Some((address, notice)) = self.make_notice(life) else { return };
        self.sent.insert(life.clone(), clock::now());
        match postcard::to_allocvec(&notice) {
            // A datagram that does not go out now is made up for by the next.
            Ok(datagram) => drop(socket.try_send_to(&datagram, address)),
            Err(error) => {
                warn!(self.context.logger, "notice not encoded"; "step" => "link",
                    "target" => &*life.id, "error" => %error);
            }
        }
    }

    fn make_notice(&mut self, life: &TargetLife) -> Option<(SocketAddr, RouterNotice)> {
        let settings = Arc::clone(&self.context.settings.borrow());
        let mut pool = self.context.pool.borrow_mut();
        let target = pool.target(life)?;
        let spec = pool.engine_of(target)?;
        let (places, memory_mb) = (spec.adapter_places as u16, spec.memory_mb as f32);
        let bases = TargetPool::base_offers(spec);
        let target = pool.target_mut(life)?;
        let address = SocketAddr::new(target.entry.address.ip(), settings.link_port);
        self.sequence += 1;
        let notice = RouterNotice {
            boot: self.boot,
            sequence: self.sequence,
            life: life.clone(),
            adapter_places: places,
            memory_mb,
            bases,
            wishes: target.wish_list(clock::now()),
            uses: target.take_uses(),
            zone: Arc::clone(&settings.zone),
            peer_address: Some(settings.peer_listen),
        };
        Some((address, notice))
    }
}
