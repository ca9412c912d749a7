//! What makes two calls the same request: each try of a caller has an id of its own, and only what the
//! target reads tells that a request has come again.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a target reads of a call. Two calls with the same one are taken for the same request.
pub type CallFingerprint = u128;

/// Fingerprint of a call by method, host, path with query, and body.
///
/// Headers are left out: ids and time limits differ from try to try. So is the caller: whoever sends it,
/// the target reads the same.
pub fn call_fingerprint(method: &str, host: &str, path: &str, body: &[u8]) -> CallFingerprint {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        // The length keeps the parts apart: "/a" with "bc" is not "/ab" with "c".
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
