//! One router of a zone follows the store, the others ask it.

use super::{control::ControlLink, follow};
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use hyper::{Method, StatusCode};
use metrics::counter;
use plantain_core::direct::sharing::{KindNews, SharedNews};
use plantain_net::client::{HttpClient, url};
use plantain_platform::objects::FollowedKind;
use slog::{info, warn};
use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Path at which a router is asked for changes.
pub(super) const CHANGES_PATH: &str = "/changes";
/// Status of an answer by a router that does not follow the store.
const DENIED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Status of an answer by one that has not heard of it for too long.
const STALE: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Time for which a question waits for changes. With [`ANSWER_LIMIT`] it bounds how long a watcher that
/// has frozen goes unnoticed: half a second, which with the watcher's own pause and a call to the store
/// is less than the time in which a leaving target must be known.
const WAIT_LIMIT: Duration = Duration::from_millis(300);
/// Longest wait for an answer beyond that.
const ANSWER_LIMIT: Duration = Duration::from_millis(200);
/// Pause before the next question after a watcher said that it does not follow the store. The store cuts
/// all watches when it drops its history, and the watcher follows it again within about this.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Times in a row that a watcher says so before this router follows the store itself. With the pause it
/// also keeps this router from a watch that is begun just as the store drops its history, and that would
/// hear nothing until its wait ends.
const DENIALS: u32 = 2;
/// Time for which a watcher that did not answer is left alone; one that has ended is not named any more
/// after it.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Pause between looks at who the watcher is.
const LOOK_PAUSE: Duration = Duration::from_millis(300);

/// Asks the zone's watcher for as long as the process lives, whenever that is another router.
pub(super) async fn run(link: Rc<ControlLink>) {
    let client = HttpClient::new();
    let mut denials = 0;
    loop {
        let Some(watcher) = link.zone_watcher() else {
            leave(&link, "this router watches");
            sleep(LOOK_PAUSE).await;
            continue;
        };
        let Some(revisions) = link.revisions() else {
            sleep(LOOK_PAUSE).await;
            continue;
        };
        match ask(&client, watcher, &revisions).await {
            Ok(Heard::News(news)) => {
                denials = 0;
                if link.set_shared(true) {
                    info!(link.logger, "store followed through a router"; "step" => "sharing",
                        "peer" => %watcher);
                }
                follow::take_shared(news, &link).await;
            }
            Ok(Heard::Stale) => {
                leave(&link, "the watcher has not heard of it for too long");
                sleep(RETRY_PAUSE).await;
            }
            Ok(Heard::Denied) => {
                denials += 1;
                if denials >= DENIALS {
                    leave(&link, "the watcher does not follow it");
                }
                sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                warn!(link.logger, "watcher lost"; "step" => "sharing", "peer" => %watcher,
                    "error" => %format!("{error:#}"));
                leave(&link, "the watcher is silent");
                sleep(AVOID_TIME).await;
            }
        }
    }
}

fn leave(link: &ControlLink, reason: &str) {
    if link.set_shared(false) {
        info!(link.logger, "store followed directly"; "step" => "sharing", "reason" => reason);
    }
}

/// What a watcher answers.
enum Heard {
    /// Changes.
    News(SharedNews),
    /// It does not follow the store.
    Denied,
    /// It has not heard of the store for too long to be relied on.
    Stale,
}

/// Asks for changes after the revisions of the kinds.
async fn ask(client: &HttpClient, watcher: SocketAddr, revisions: &[u64]) -> Result<Heard> {
    counter!("plantain_sharing_calls_total").increment(1);
    let since: Vec<String> = revisions.iter().map(u64::to_string).collect();
    let uri = url(watcher, &format!("{CHANGES_PATH}?since={}", since.join(",")));
    let limit = WAIT_LIMIT + ANSWER_LIMIT;
    let answer = client.call(Method::GET, &uri, Bytes::new(), limit).await?;
    match answer.status {
        DENIED => return Ok(Heard::Denied),
        STALE => return Ok(Heard::Stale),
        status => ensure!(status == StatusCode::OK, "GET {uri}: {status}"),
    }
    let news: SharedNews = postcard::from_bytes(&answer.body)
        .wrap_err_with(|| format!("decode changes of {watcher}"))?;
    ensure!(news.len() == revisions.len(), "{watcher} told of {} kinds", news.len());
    Ok(Heard::News(news))
}

/// Answers another router's question for changes after `since`, as soon as there are any.
pub(super) async fn answer(link: &ControlLink, since: &str) -> (StatusCode, Bytes) {
    let revisions: Vec<u64> = since.split(',').filter_map(|text| text.parse().ok()).collect();
    if revisions.len() != FollowedKind::ALL.len() {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    }
    let changed = async {
        loop {
            // Enabled before the look, so that a change between the two is not missed.
            let mut woken = pin!(link.log_changed.notified());
            woken.as_mut().enable();
            if has_news(link, &revisions) {
                return;
            }
            woken.await;
        }
    };
    let _ = timeout(WAIT_LIMIT.min(link.fresh_for()), changed).await;
    if link.fresh_for().is_zero() {
        return (STALE, Bytes::new());
    }
    let logs = link.logs.borrow();
    if logs.iter().any(|log| !log.is_direct()) {
        return (DENIED, Bytes::new());
    }
    let kinds = FollowedKind::ALL.into_iter().zip(logs.iter()).zip(&revisions);
    let news = kinds.map(|((kind, log), revision)| {
        let whole =
            || KindNews { revision: log.revision(), is_whole: true, changes: link.whole(kind) };
        log.since(*revision).unwrap_or_else(whole)
    });
    let news: SharedNews = news.collect();
    match postcard::to_allocvec(&news) {
        Ok(bytes) => (StatusCode::OK, bytes.into()),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

fn has_news(link: &ControlLink, revisions: &[u64]) -> bool {
    let logs = link.logs.borrow();
    let mut kinds = logs.iter().zip(revisions);
    kinds.any(|(log, revision)| log.since(*revision).is_none_or(|news| !news.changes.is_empty()))
}
