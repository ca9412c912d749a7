//! HTTP client for the engine on the loader's host.

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

/// Timeout for reports: the engine is on the same host and answers in about a millisecond. While the loader waits for
/// a report it orders no loads, and calls wait for these.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// Timeout for the answer to an order, which comes in a few milliseconds or not at all. All further orders wait for it,
/// and with them the calls whose adapters they load. An order that takes effect after the timeout can do so only if the
/// engine has not accepted a later one.
const ORDER_LIMIT: Duration = Duration::from_millis(50);
/// Largest answer of the engine, in bytes: its report names some tens of adapters.
const REPORT_LIMIT: usize = 1 << 20;
/// Timeout for a health check, which queues with the engine's calls.
const IDENTIFY_LIMIT: Duration = Duration::from_secs(1);

/// Sends requests to the engine and reuses its connections.
pub(crate) struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Creates a client without a connection.
    pub(crate) fn new() -> Self {
        Self { client: HttpClient::with_answer_limit(REPORT_LIMIT) }
    }

    /// Gets the engine's report.
    pub(crate) async fn report(&self, address: SocketAddr) -> Result<EngineReport> {
        let answer = self.call(address, engine::report_request(), ANSWER_LIMIT).await?;
        ensure!(answer.status.is_success(), "report of engine {address}: {}", answer.status);
        engine::decode_report(&answer.body).wrap_err_with(|| format!("report of engine {address}"))
    }

    /// Gets the instance id of the running engine.
    pub(crate) async fn identify(&self, address: SocketAddr) -> Result<InstanceId> {
        let answer = self.call(address, engine::identify_request(), IDENTIFY_LIMIT).await?;
        engine::decode_identity(&answer.headers)
            .ok_or_else(|| eyre!("engine {address} did not say its id: {}", answer.status))
    }

    /// Sends an order; the text gives details of an answer that is not a success.
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
