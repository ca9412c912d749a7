//! Datagrams between processes of different builds.

use super::support::report;
use plantain_core::direct::messages::{LoaderMessage, decode_datagram};

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
