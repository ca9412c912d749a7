//! Fingerprints of calls: a caller's retries have different ids, so a repeated request is recognised by
//! what the target reads of it.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a target reads of a call. Calls with equal fingerprints count as the same request.
pub type CallFingerprint = u128;
/// What may be at fault when a target crashes: the fingerprint of a call, or a part of its prompt.
pub type SuspectId = u128;

/// Upper half of the ids of prompt parts, which tells them from fingerprints.
const PART_TAG: u64 = 0x7072_6f6d_7074_2e70;

/// Suspect id of a prompt part, the same for all calls that contain it.
pub fn part_suspect(hash: u64) -> SuspectId {
    u128::from(PART_TAG) << 64 | u128::from(hash)
}

/// Whether a suspect is a prompt part and not a call.
pub fn is_part(suspect: SuspectId) -> bool {
    suspect >> 64 == u128::from(PART_TAG)
}

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
