//! Eras of the store's history, sent between routers in a header beside the revisions: routers of older builds neither
//! send nor read it.

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use plantain_core::direct::sharing::StoreEra;

/// Header with the eras of the revisions in a message, in their order, separated by commas.
const ERAS: HeaderName = HeaderName::from_static("x-plantain-eras");

/// Adds the eras to a message.
pub(super) fn encode(eras: impl Iterator<Item = StoreEra>, headers: &mut HeaderMap) {
    let eras: Vec<String> = eras.map(|era| era.to_string()).collect();
    if let Ok(value) = HeaderValue::from_str(&eras.join(",")) {
        headers.insert(ERAS, value);
    }
}

/// Reads the eras of a message; `None` if it has none, or unreadable ones.
pub(super) fn decode(headers: &HeaderMap) -> Option<Vec<StoreEra>> {
    let eras = headers.get(ERAS)?.to_str().ok()?.split(',');
    eras.map(|era| era.parse().ok()).collect()
}
