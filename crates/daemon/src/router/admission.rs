//! Admission of calls: finds the route, identifies the caller, charges the customer's limit.

use super::{
    constants,
    context::{RouterContext, poll_until},
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

/// Why a request is rejected.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallRejection {
    NoConfig,
    NoRoute,
    /// No engine of its service can hold the adapter or the base model that it needs.
    TooLargeModel,
    NoId,
    /// It resumes a stream, but its last event is not one number.
    BadEvent,
    /// It has no key, or an unusable one.
    NoKey,
    UnknownKey,
    /// Its key is unknown, and the known configuration may be older than the key.
    MayBeNewKey,
    /// Its customer's limit is used up and admits calls again after this time.
    OverLimit(Duration),
    /// Its cost alone exceeds its customer's limit.
    LargerThanLimit,
    /// The router stops, and may not be able to finish the call.
    Stopping,
    BodyTooLarge,
    /// Bodies of other requests have taken the memory.
    NoBodyRoom,
    BodyBroken,
    BodySlow,
}

impl CallRejection {
    /// Status and message of the reply to the caller.
    pub(super) fn reply(self) -> (StatusCode, &'static str) {
        match self {
            Self::NoConfig => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
            Self::NoRoute => (StatusCode::NOT_FOUND, "no route takes this host and path"),
            Self::TooLargeModel => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no engine has the memory and slots for this adapter or base model",
            ),
            Self::NoId => (StatusCode::BAD_REQUEST, "the request has no id"),
            Self::BadEvent => (StatusCode::BAD_REQUEST, "the last event's id is not one number"),
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
            Self::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the router is stopping"),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::NoBodyRoom => (StatusCode::SERVICE_UNAVAILABLE, "no memory for the body now"),
            Self::BodyBroken => (StatusCode::BAD_REQUEST, "the body broke off"),
            Self::BodySlow => (StatusCode::REQUEST_TIMEOUT, "the body took too long"),
        }
    }

    /// Retry delay for the caller; `None` if none is suggested.
    pub(super) fn pause(self) -> Option<Duration> {
        match self {
            Self::NoConfig | Self::MayBeNewKey => Some(constants::RETURN_PAUSE),
            Self::Stopping => Some(constants::BUSY_PAUSE),
            Self::NoBodyRoom => Some(spread(constants::RETURN_PAUSE)),
            Self::OverLimit(retry_after) => Some(spread(retry_after)),
            _ => None,
        }
    }
}

/// Multiplies a retry delay by a random factor between 1 and 2, so that callers refused together do not return
/// together: the limit admits them only one after the other.
pub(super) fn spread(pause: Duration) -> Duration {
    pause.mul_f64(1.0 + rand::random::<f64>())
}

/// Finds a call's route and picks its service.
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

/// Rejects a call whose adapter or base model no engine of its service can hold: it would wait for it in vain.
pub(super) fn check_model(
    config: &RouteConfig,
    service: &ServiceName,
    head: &CallHead,
) -> Result<(), CallRejection> {
    let engine = config.services.get(service).and_then(|spec| spec.engine.as_ref());
    match (engine, &head.model) {
        (Some(engine), Some(model)) if !engine.can_hold(&model.need) => {
            Err(CallRejection::TooLargeModel)
        }
        _ => Ok(()),
    }
}

/// Identifies the caller by its key.
///
/// While the configuration cannot be followed, an unknown key may be newer than the known configuration. Its caller
/// then gets a retryable refusal instead of a permanent one. The store is not queried for an unknown key: a flood of
/// them must not cause a call each, and while the configuration is followed, a change arrives within about 0.1 s.
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
        PresentedKey::Digest(_) if context.may_be_outdated.get() => CallRejection::MayBeNewKey,
        PresentedKey::Digest(_) => CallRejection::UnknownKey,
    })
}

/// Charges a call to its customer's limit; `None` if there is no customer or no limit.
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

/// Waits until a router that has just started knows the meters; returns whether that happened during the wait.
async fn wait_for_first_meters(context: &RouterContext) -> bool {
    let limits = &context.limits;
    if limits.knows_meters() || !context.is_starting() {
        return false;
    }
    poll_until(clock::now() + constants::METER_WAIT, || limits.knows_meters()).await
}

/// Details of a rejection for its log line.
pub(super) fn rejection_detail(
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
        CallRejection::NoBodyRoom => {
            let _ = write!(text, "; bodies hold {} bytes", context.bodies.held());
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

/// Name of the customer for log lines; `None` for an anonymous caller.
pub(super) fn customer_name(identity: Option<&CallerIdentity>) -> Option<CustomerName> {
    identity.and_then(CallerIdentity::customer).map(|customer| Arc::clone(&customer.name))
}
