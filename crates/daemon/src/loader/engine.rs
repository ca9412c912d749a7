//! Calls to the engine beside the loader.

use eyre::{Result, WrapErr, ensure, eyre};
use http_body_util::Full;
use hyper::{Request, Uri, header::HOST};
use plantain_core::direct::{
    membership::InstanceId,
    orders::{EngineOrder, EngineReport, OrderAnswer},
};
use plantain_net::client::{HttpAnswer, HttpClient, url};
use plantain_platform::engine;
use std::{net::SocketAddr, time::Duration};

/// Longest wait for the engine's own answers: it stands on the same host and answers in about a
/// millisecond, and calls wait for the loads that this holds up.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// Longest wait for the answer to an order, which comes in a few milliseconds or not at all. All other
/// orders wait behind it, and with them the calls whose adapters they load; one that takes effect later
/// can do so only while no further order was taken.
const ORDER_LIMIT: Duration = Duration::from_millis(50);
/// Longest wait for a health check, which waits for a place among the calls.
const IDENTIFY_LIMIT: Duration = Duration::from_secs(1);

/// A client of one engine.
pub(crate) struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// A client with no connection yet.
    pub(crate) fn new() -> Self {
        Self { client: HttpClient::new() }
    }

    /// Asks for a report.
    pub(crate) async fn report(&self, address: SocketAddr) -> Result<EngineReport> {
        let answer = self.call(address, engine::report_request(), ANSWER_LIMIT).await?;
        ensure!(answer.status.is_success(), "report of engine {address}: {}", answer.status);
        engine::decode_report(&answer.body).wrap_err_with(|| format!("report of engine {address}"))
    }

    /// Asks which life of the engine this is.
    pub(crate) async fn identify(&self, address: SocketAddr) -> Result<InstanceId> {
        let answer = self.call(address, engine::identify_request(), IDENTIFY_LIMIT).await?;
        engine::decode_identity(&answer.headers)
            .ok_or_else(|| eyre!("engine {address} did not say its id: {}", answer.status))
    }

    /// Gives an order; the text says more about an answer that is not plain.
    pub(crate) async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        holder: &str,
    ) -> (OrderAnswer, Option<String>) {
        let request = match engine::order_request(order, holder) {
            Ok(request) => request,
            Err(error) => return (OrderAnswer::Refused, Some(format!("{error:#}"))),
        };
        match self.call(address, request, ORDER_LIMIT).await {
            Ok(answer) => {
                let decoded = engine::decode_order_answer(answer.status);
                let is_plain = matches!(decoded, OrderAnswer::Accepted | OrderAnswer::Done);
                (decoded, (!is_plain).then(|| answer.text()))
            }
            Err(error) => (OrderAnswer::Silent, Some(format!("{error:#}"))),
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Vec<u8>>,
        limit: Duration,
    ) -> Result<HttpAnswer> {
        let uri = url(address, request.uri().path());
        *request.uri_mut() = uri.parse::<Uri>().wrap_err("parse address of engine")?;
        request.headers_mut().remove(HOST);
        self.client.fetch(request.map(|body| Full::new(body.into())), limit).await
    }
}
