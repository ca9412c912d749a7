//! Tests of the codec for links between processes, also with random and damaged bytes.

use plantain_core::protocol::{AgentFrame, EntryFrame, TargetReport};
use plantaind::link::frames::{decode, encode};
use quickcheck::QuickCheck;

fn frame() -> AgentFrame {
    let residents = Some(vec![1, u64::MAX]);
    AgentFrame::End { request: 7, report: TargetReport { residents, ..TargetReport::default() } }
}

#[test]
fn encoded_frame_decodes_to_the_same_frame() {
    let bytes = encode(&frame()).expect("encode");
    assert_eq!(decode::<AgentFrame>(&bytes[4..]).expect("decode"), frame());
}

/// Guards against a decoder that panics on bytes that are not a valid frame, or that allocates memory
/// for a declared length although fewer bytes follow.
#[test]
fn decoding_random_bytes_never_panics() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck hands over values")]
    fn property(bytes: Vec<u8>) -> bool {
        let _ = decode::<EntryFrame>(&bytes);
        let _ = decode::<AgentFrame>(&bytes);
        true
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn truncated_and_overlong_frames_are_rejected() {
    let bytes = encode(&frame()).expect("encode");
    let body = &bytes[4..];
    for length in 0..body.len() {
        assert!(decode::<AgentFrame>(&body[..length]).is_err(), "cut to {length} bytes");
    }
    let longer = [body, &[0]].concat();
    assert!(decode::<AgentFrame>(&longer).is_err(), "a byte too many");
}
