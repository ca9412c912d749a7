//! Whether a call is taken: its route, whose it is, and what that customer has left.

use super::{
    constants,
    context::{RouterContext, becomes_true},
    limits::UsageCharge,
};
use crate::clock;
use hyper::StatusCode;
use plantain_core::{
    direct::{
        call::CallHead,
        config::{RouteConfig, RouteRule},
        customers::{CallerIdentity, CustomerRule, keys::PresentedKey},
        limits::account::SpendDecision,
    },
    ids::{CustomerName, ServiceName},
};
use std::{fmt::Write, sync::Arc, time::Duration};

/// Why a request is not taken.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallRejection {
    NoConfig,
    NoRoute,
    NoId,
    /// It bears no key, or none that can be a customer's.
    NoKey,
    UnknownKey,
    /// Its key is not known here, and the configuration may be older than the key.
    MayBeNewKey,
    /// Its customer's limit is used up; there is room after this time.
    OverLimit(Duration),
    /// It would exceed its customer's limit by itself.
    LargerThanLimit,
    BodyTooLarge,
    BodyBroken,
    BodySlow,
}

impl CallRejection {
    /// What its caller is told.
    pub(super) fn reply(self) -> (StatusCode, &'static str) {
        match self {
            Self::NoConfig => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
            Self::NoRoute => (StatusCode::NOT_FOUND, "no route takes this host and path"),
            Self::NoId => (StatusCode::BAD_REQUEST, "the request has no id"),
            Self::NoKey => (StatusCode::UNAUTHORIZED, "the request has no key"),
            Self::UnknownKey => (StatusCode::UNAUTHORIZED, "the key is no customer's"),
            Self::MayBeNewKey => (StatusCode::SERVICE_UNAVAILABLE, "the key is not known here now"),
            Self::OverLimit(_) => {
                (StatusCode::TOO_MANY_REQUESTS, "the customer's limit is used up")
            }
            Self::LargerThanLimit => (
                StatusCode::TOO_MANY_REQUESTS,
                "the request exceeds the customer's limit by itself; sent again, it will too",
            ),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::BodyBroken => (StatusCode::BAD_REQUEST, "the body broke off"),
            Self::BodySlow => (StatusCode::REQUEST_TIMEOUT, "the body took too long"),
        }
    }

    /// When it is worth coming back.
    pub(super) fn pause(self) -> Option<Duration> {
        match self {
            Self::NoConfig | Self::MayBeNewKey => Some(constants::RETURN_PAUSE),
            Self::OverLimit(retry_after) => Some(spread(retry_after)),
            _ => None,
        }
    }
}

/// Callers that were refused together must not return together: there is room for one after the other only.
pub(super) fn spread(pause: Duration) -> Duration {
    pause.mul_f64(1.0 + rand::random::<f64>())
}

/// The route and service of a call.
pub(super) fn find_route(
    config: &RouteConfig,
    head: &CallHead,
) -> Result<(Arc<RouteRule>, ServiceName), CallRejection> {
    if config.number == 0 {
        return Err(CallRejection::NoConfig);
    }
    let route = config.find(&head.host, &head.path).ok_or(CallRejection::NoRoute)?;
    let service = route.pick_service(rand::random()).ok_or(CallRejection::NoRoute)?;
    Ok((Arc::clone(route), Arc::clone(service)))
}

/// Whose call it is.
///
/// A key that is not known here may be newer than the configuration, while that is not followed. Its caller
/// then hears that it was not run, and may come back, rather than that its key is wrong for good. Nothing is
/// asked of the store for an unknown key: a flood of them must cost no call each, and while the configuration
/// is followed, news of it takes some 0.1 s.
pub(super) fn identify(
    context: &RouterContext,
    config: &RouteConfig,
    route: &RouteRule,
    head: &CallHead,
) -> Result<CallerIdentity, CallRejection> {
    if let Some(identity) = config.customers.identify(&head.key, route.is_open) {
        return Ok(identity);
    }
    Err(match head.key {
        PresentedKey::Missing | PresentedKey::Unusable(_) => CallRejection::NoKey,
        PresentedKey::Digest(_) if context.may_be_behind.get() => CallRejection::MayBeNewKey,
        PresentedKey::Digest(_) => CallRejection::UnknownKey,
    })
}

/// Counts a call against its customer's limit.
pub(super) async fn charge(
    context: &RouterContext,
    identity: &CallerIdentity,
    head: &CallHead,
) -> Result<Option<UsageCharge>, CallRejection> {
    let Some(customer) = identity.customer() else { return Ok(None) };
    let Some(limit) = &customer.limit else { return Ok(None) };
    let cost = limit.cost(head.tokens);
    let (mut decision, mut charge) = context.limits.charge(customer, limit, cost).await;
    if decision != SpendDecision::Granted && wait_for_first_meters(context).await {
        (decision, charge) = context.limits.charge(customer, limit, cost).await;
    }
    match decision {
        SpendDecision::Granted => Ok(Some(charge)),
        SpendDecision::Refused { retry_after: Some(retry_after) } => {
            Err(CallRejection::OverLimit(retry_after))
        }
        SpendDecision::Refused { retry_after: None } => Err(CallRejection::LargerThanLimit),
    }
}

/// Waits at a router that has just started until it knows which meters there are; returns whether it has learned that.
async fn wait_for_first_meters(context: &RouterContext) -> bool {
    let limits = &context.limits;
    if limits.knows_meters() || !context.is_starting() {
        return false;
    }
    becomes_true(clock::now() + constants::METER_WAIT, || limits.knows_meters()).await
}

/// What decided a rejection, for its line in the log.
pub(super) fn grounds(
    context: &RouterContext,
    rejection: CallRejection,
    head: &CallHead,
    identity: Option<&CallerIdentity>,
) -> String {
    let mut text = String::new();
    match rejection {
        CallRejection::NoKey => {
            if let PresentedKey::Unusable(fault) = head.key {
                let _ = write!(text, "; {fault}");
            }
        }
        CallRejection::UnknownKey | CallRejection::MayBeNewKey => {
            if let PresentedKey::Digest(digest) = head.key {
                let _ = write!(text, "; key {}", digest.mark(context.boot));
            }
        }
        CallRejection::OverLimit(_) | CallRejection::LargerThanLimit => {
            let Some(customer) = identity.and_then(CallerIdentity::customer) else { return text };
            let cost = customer.limit.as_ref().map_or(0, |limit| limit.cost(head.tokens));
            let _ = write!(text, "; cost {cost}");
            note_account(&mut text, context, customer);
        }
        _ => {}
    }
    text
}

fn note_account(text: &mut String, context: &RouterContext, customer: &CustomerRule) {
    let Some(view) = context.limits.view(customer, clock::now()) else { return };
    let _ = write!(
        text,
        ", limit {:.0} a second, used here {}, left {:.0}",
        view.rate, view.used, view.left
    );
    match view.age {
        Some(age) => {
            let _ = write!(text, " as told {} ms ago", age.as_millis());
        }
        None => text.push_str(", no meter heard"),
    }
}

/// Name of the customer, for logs.
pub(super) fn customer_name(identity: Option<&CallerIdentity>) -> Option<CustomerName> {
    identity.and_then(CallerIdentity::customer).map(|customer| Arc::clone(&customer.name))
}
