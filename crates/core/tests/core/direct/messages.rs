//! Datagrams between processes of different builds.

use super::support::{BASE, report};
use plantain_core::direct::messages::{
    AdapterUse, LoaderMessage, RouterMessage, RouterNotice, decode_datagram,
};

/// Bytes of the fields that were added to a report after the first build, as encoded by [`report`].
const ADDED_BYTES: usize = 4;

/// Guards against routers that drop the reports of older loaders, and so send calls to engines that do not hold the
/// adapter.
#[test]
fn a_report_without_the_added_fields_is_read() {
    let message = LoaderMessage::Report(report("e1", 1, &[("h7", 1)]));
    let datagram = postcard::to_allocvec(&message).expect("encoded");
    let older = &datagram[..datagram.len() - ADDED_BYTES];
    assert_eq!(decode_datagram::<LoaderMessage>(older).expect("decoded"), message);
}

/// Guards against loaders that drop the notices of older routers, and so evict adapters that their calls use.
#[test]
fn a_notice_without_the_added_fields_is_read() {
    let used = AdapterUse {
        base: BASE.into(),
        adapter: "h7".into(),
        running: 1,
        started: 1,
        started_tokens: 600,
    };
    let message = RouterMessage::Notice(RouterNotice {
        boot: 1,
        sequence: 1,
        incarnation: "e1".into(),
        adapter_slots: 4,
        memory_mb: 80_000.0,
        bases: Vec::new(),
        load_requests: Vec::new(),
        uses: vec![used],
        wants_report: true,
        answered_tokens: 0,
        best_prefill: 0,
        ended_runs: 0,
        ended_ms: 0,
        batch: 0,
        spreads: Vec::new(),
    });
    let datagram = postcard::to_allocvec(&message).expect("encoded");
    for added in [2, 6] {
        let older = &datagram[..datagram.len() - added];
        assert_eq!(decode_datagram::<RouterMessage>(older).expect("decoded"), message, "{added}");
    }
}

/// Guards against older processes that drop datagrams with fields which they do not know.
#[test]
fn bytes_after_the_known_fields_are_ignored() {
    let message = LoaderMessage::Report(report("e1", 1, &[("h7", 1)]));
    let mut datagram = postcard::to_allocvec(&message).expect("encoded");
    datagram.extend([7, 7, 7]);
    assert_eq!(decode_datagram::<LoaderMessage>(&datagram).expect("decoded"), message);
}

/// Guards against a datagram that was cut off in its first fields and is read as a report of nothing.
#[test]
fn a_datagram_that_ends_in_its_first_fields_is_an_error() {
    let message = LoaderMessage::Report(report("engine-1", 1, &[("adapter-7", 1)]));
    let datagram = postcard::to_allocvec(&message).expect("encoded");
    assert!(decode_datagram::<LoaderMessage>(&datagram[..8]).is_err());
}
