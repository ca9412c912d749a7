//! Fingerprints of calls: a caller's retries have different ids, so a repeated request is recognised by
//! what the target reads of it.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a target reads of a call. Calls with equal fingerprints count as the same request.
pub type CallFingerprint = u128;

/// Fingerprint of a call by method, host, path with query, and body.
///
/// Headers are left out, because ids and time limits differ between attempts. So is the caller, because
/// the target receives the same request from every caller.
pub fn call_fingerprint(method: &str, host: &str, path: &str, body: &[u8]) -> CallFingerprint {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        // The length separates the parts: "/a" with "bc" must differ from "/ab" with "c".
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
