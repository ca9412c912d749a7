//! Rate limits of targets: each request takes a unit of its target's limit before it is sent.

use super::{constants, context::RouterContext, limits::UsageCharge, links};
use crate::clock;
use metrics::counter;
use plantain_core::{
    direct::{
        limits::account::SpendDecision,
        membership::TargetIncarnation,
        target_limit::{AdvertisedLimit, LimitUpdate, RequestRate},
    },
    ids::Timestamp,
};
use slog::{info, warn};
use std::{fmt::Write, time::Duration};
use tokio::time::timeout;

/// Result of a request for a unit of a target's limit.
pub(crate) enum TargetPermit {
    /// The request may be sent; with the unit that it took, if the target has a limit.
    Granted(Option<UsageCharge>),
    /// The limit is used up; with the reason for the log.
    Saturated(String),
}

impl RouterContext {
    /// Records the limit that a target advertised in its answer to a call sent at `sent`.
    pub(crate) fn record_advertised_limit(
        &self,
        incarnation: &TargetIncarnation,
        advertised: AdvertisedLimit,
        sent: Timestamp,
    ) {
        if advertised != AdvertisedLimit::Unlimited {
            counter!("plantain_limited_answers_total").increment(1);
        }
        if advertised == AdvertisedLimit::Unreadable {
            warn!(self.logger, "limit of target not understood"; "step" => "target_limit",
                "target" => &*incarnation.id, "started" => incarnation.started);
        }
        let now = clock::now();
        let is_changed = self.pool.borrow_mut().record_limit(incarnation, advertised, sent, now);
        if is_changed {
            self.log_limit(incarnation, "answer", now.saturating_sub(sent));
            links::follow_meters(self, now);
            self.limits.report_limits_now();
        }
    }

    /// Applies a loader's updates of targets' limits.
    pub(crate) fn apply_limit_updates(&self, updates: &[LimitUpdate], now: Timestamp) {
        let changed = self.pool.borrow_mut().apply_limit_updates(updates, now);
        if changed.is_empty() {
            return;
        }
        for incarnation in &changed {
            let received = updates.iter().find(|update| update.tag == incarnation.stable_hash());
            let age = received.map_or(0, |update| update.age_ms);
            self.log_limit(incarnation, "loader", Duration::from_millis(age.into()));
        }
        links::follow_meters(self, now);
    }

    fn log_limit(&self, incarnation: &TargetIncarnation, source: &str, age: Duration) {
        info!(self.logger, "limit of target changed"; "step" => "target_limit",
            "target" => &*incarnation.id, "started" => incarnation.started, "rate" => self.limit_rate(incarnation),
            "source" => source, "age_ms" => age.as_millis() as u64);
    }

    fn limit_rate(&self, incarnation: &TargetIncarnation) -> Option<RequestRate> {
        self.pool.borrow().target(incarnation)?.limit.rate
    }

    /// Takes a unit of a target's limit for one request, if the target has one.
    pub(crate) async fn acquire_permit(&self, incarnation: &TargetIncarnation) -> TargetPermit {
        let Some(rate) = self.limit_rate(incarnation) else { return TargetPermit::Granted(None) };
        let tag = incarnation.stable_hash();
        let permit = timeout(constants::PERMIT_WAIT, self.limits.acquire(tag, rate)).await;
        let retry_after = match permit {
            Ok((SpendDecision::Granted, charge)) => {
                counter!("plantain_target_turns_total", "outcome" => "granted").increment(1);
                return TargetPermit::Granted(Some(charge));
            }
            Ok((SpendDecision::Refused { retry_after }, _)) => retry_after,
            Err(_) => None,
        };
        if self.limit_rate(incarnation).is_none() {
            // The meter's answer reported that the limit has ended.
            return TargetPermit::Granted(None);
        }
        counter!("plantain_target_turns_total", "outcome" => "refused").increment(1);
        let now = clock::now();
        let pause = self.limits.refusal_pause(tag, retry_after.unwrap_or_default());
        let until = now + pause.mul_f64(0.5 + 0.5 * rand::random::<f64>());
        self.pool.borrow_mut().record_saturation(incarnation, until);
        let mut reason = format!("{incarnation} takes {rate} requests a second");
        match self.limits.view_tag(tag, now) {
            Some(view) if view.age.is_some() => {
                let age = view.age.unwrap_or_default().as_millis();
                let _ = write!(reason, ", left {:.1} as told {age} ms ago", view.left);
            }
            _ => reason.push_str(", no meter heard"),
        }
        TargetPermit::Saturated(reason)
    }

    /// Time until the first saturated target of a service may admit requests again; `None` if none is saturated.
    pub(crate) fn limit_retry_after(&self, service: &str) -> Option<Duration> {
        self.pool.borrow().limit_retry_after(service, clock::now())
    }
}
