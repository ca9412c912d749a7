//! Readiness endpoint for the load balancer.

use super::context::RouterContext;
use http_body_util::Empty;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use plantain_platform::calls::READY_PATH;
use slog::info;
use std::{convert::Infallible, rc::Rc, sync::atomic::Ordering, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

/// Longest time for which a connection of the load balancer is kept open.
const CONNECTION_LIMIT: Duration = Duration::from_secs(30);

/// Updates readiness: a router is ready once it has a configuration and targets, until the stop signal, while its duties
/// run. An outage of
/// the store does not make it unready, since it can serve with the last known state.
pub(super) fn update(context: &RouterContext) {
    let is_ready = {
        let pool = context.pool.borrow();
        !context.is_stopping()
            && context.supervisor.is_sound()
            && pool.config().number > 0
            && pool.entries().next().is_some()
    };
    if context.set_ready(is_ready) {
        info!(context.logger, "readiness changed"; "step" => "ready", "ready" => is_ready);
    }
}

/// Answers readiness checks until the process ends.
pub(super) async fn serve(listener: Rc<TcpListener>, context: Rc<RouterContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = Rc::clone(&context);
                spawn_local(async move {
                    let _ = timeout(CONNECTION_LIMIT, answer(stream, context)).await;
                });
            }
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn answer(stream: TcpStream, context: Rc<RouterContext>) {
    let service = service_fn(move |request: Request<Incoming>| {
        update(&context);
        let is_ready = context.is_ready.load(Ordering::Acquire);
        let status = match (request.uri().path() == READY_PATH, is_ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut reply = Response::new(Empty::<Bytes>::new());
        *reply.status_mut() = status;
        async move { Ok::<_, Infallible>(reply) }
    });
    let _ = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
