//! Datagrams between processes of different builds.

use super::support::report;
use plantain_core::direct::{
    directory::RouterPresence,
    messages::{LoaderMessage, RouterMessage, decode_datagram},
    streams::{
        messages::{RouteClaim, StreamNotice, StreamQuery, StreamReceipt},
        outbox::StreamOutbox,
    },
};
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Bytes of the fields that were added to a report after the first build, as encoded by [`report`].
const ADDED_BYTES: usize = 3;

/// Guards against routers that drop the reports of older loaders, and so send calls to engines that do not hold the
/// adapter.
#[test]
fn a_report_without_the_added_fields_is_read() {
    let message = LoaderMessage::Report(report("e1", 1, &[("h7", 1)]));
    let datagram = postcard::to_allocvec(&message).expect("encoded");
    let older = &datagram[..datagram.len() - ADDED_BYTES];
    assert_eq!(decode_datagram::<LoaderMessage>(older).expect("decoded"), message);
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

/// Guards against notices of streams that outgrow what the capacity page says: each stream costs two of them.
#[test]
fn notices_of_streams_are_small() {
    let mut outbox = StreamOutbox::default();
    outbox.push(&[IpAddr::from([10, 0, 0, 1])], u64::MAX, u64::MAX - 1, Duration::ZERO);
    let (_, notice) = outbox.take_due(Duration::ZERO).remove(0);
    let receipt = StreamReceipt { sequence: 100_000 };
    let notice = StreamNotice { sequence: 100_000, ..notice };
    let size = |message: &RouterMessage| postcard::to_allocvec(message).expect("encoded").len();
    assert!(size(&RouterMessage::Streams(notice)) <= 22);
    assert!(size(&RouterMessage::StreamQuery(StreamQuery::new(u64::MAX))) <= 9);
    let receipt = postcard::to_allocvec(&LoaderMessage::StreamReceipt(receipt)).expect("encoded");
    assert!(receipt.len() <= 4);
    let claim = RouteClaim::new(u64::MAX, Some(u64::MAX - 1));
    let claim = claim.with_times(Duration::from_mins(30), Duration::ZERO);
    assert!(postcard::to_allocvec(&claim).expect("encoded").len() <= 24);
}

/// Guards against presences and directories of builds without claims that cannot be read, and the other way round.
#[test]
fn builds_without_claims_are_understood_and_understand() {
    #[derive(Debug, Deserialize, PartialEq, Serialize)]
    struct OldPresence {
        zone: String,
        address: SocketAddr,
        registers_here: bool,
        limit_updates: Vec<u8>,
    }
    let address = ([10, 0, 0, 1], 9_000).into();
    let old =
        OldPresence { zone: "a".into(), address, registers_here: true, limit_updates: Vec::new() };
    let new = RouterPresence {
        zone: "a".into(),
        address,
        registers_here: true,
        limit_updates: Vec::new(),
        claims: Vec::new(),
    };
    let bytes = postcard::to_allocvec(&old).expect("encoded");
    assert_eq!(decode_datagram::<RouterPresence>(&bytes).expect("decoded"), new);
    let claims = vec![RouteClaim::new(1, Some(2))];
    let bytes = postcard::to_allocvec(&RouterPresence { claims, ..new }).expect("encoded");
    assert_eq!(decode_datagram::<OldPresence>(&bytes).expect("decoded"), old);
}
