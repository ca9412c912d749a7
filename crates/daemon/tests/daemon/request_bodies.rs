//! Bodies of requests within the memory of a process.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, channel::Channel};
use hyper::body::Frame;
use plantain_core::memory::{MemoryShares, SMALL_BODY};
use plantain_net::request_body::{BodyError, BodyLimits, BodyMemory};
use quickcheck::{QuickCheck, TestResult};
use std::{convert::Infallible, time::Duration};
use tokio::time::{Instant, sleep};

const SIZE: usize = 1 << 20;
const LIMITS: BodyLimits =
    BodyLimits { size: SIZE, time: Duration::from_secs(2), wait: Duration::from_millis(100) };
/// Room for four bodies of the largest size.
const SHARES: MemoryShares =
    MemoryShares { large_bodies: 4 * SIZE, small_bodies: 4 * SMALL_BODY, answers: 0 };

fn whole(size: usize) -> Full<Bytes> {
    Full::new(vec![b'p'; size].into())
}

async fn read(memory: &BodyMemory, size: usize) -> Result<Bytes, BodyError> {
    memory.read(&mut whole(size), &LIMITS).await
}

/// Guards against bodies that together take more than their share, and against room that is not given back.
#[tokio::test]
async fn large_bodies_that_find_no_room_are_told() {
    let memory = BodyMemory::new(&SHARES);
    let mut kept = Vec::new();
    for _ in 0..4 {
        kept.push(read(&memory, SIZE).await.expect("room"));
    }
    let began = Instant::now();
    assert_eq!(read(&memory, SIZE).await, Err(BodyError::NoRoom));
    assert!(began.elapsed() >= LIMITS.wait);
    assert_eq!(read(&memory, SIZE + 1).await, Err(BodyError::TooLarge));
    let small = read(&memory, SMALL_BODY).await.expect("small bodies have room of their own");
    let waiting = read(&memory, SIZE);
    let freed = async {
        sleep(LIMITS.wait / 4).await;
        drop(kept.pop());
    };
    let (waited, ()) = tokio::join!(waiting, freed);
    assert!(waited.is_ok(), "room that is given back goes to a body that waits");
    drop((kept, small, waited));
    assert_eq!(memory.held(), 0);
}

/// Guards against bodies without a length that grow beyond the share, and whose buffers are not counted.
#[tokio::test]
async fn bodies_without_a_length_grow_within_the_share() {
    let memory = BodyMemory::new(&SHARES);
    let chunks = |count| {
        let chunk = Bytes::from_static(&[b'p'; 1 << 10]);
        let frames = (0..count).map(move |_| Ok::<_, Infallible>(Frame::data(chunk.clone())));
        StreamBody::new(futures_util::stream::iter(frames))
    };
    let kept = read(&memory, 3 * SIZE / 4 + SIZE / 8).await.expect("room");
    let first = memory.read(&mut chunks(SIZE >> 10), &LIMITS).await.expect("room to grow");
    assert_eq!(first.len(), SIZE);
    assert!(memory.held() >= first.len() + kept.len());
    let second = memory.read(&mut chunks(SIZE >> 10), &LIMITS).await.expect("room to grow");
    let third = memory.read(&mut chunks(SIZE >> 10), &LIMITS).await;
    assert_eq!(third, Err(BodyError::NoRoom), "{}", memory.held());
    drop((kept, first, second));
    assert_eq!(memory.held(), 0);
}

/// Guards against a body that comes in small pieces for ever and outlasts its time limit.
#[tokio::test]
async fn a_body_that_keeps_coming_ends_at_its_limit() {
    let memory = BodyMemory::new(&SHARES);
    let frames = std::iter::repeat_with(|| Ok::<_, Infallible>(Frame::data(Bytes::new())));
    let mut body = StreamBody::new(futures_util::stream::iter(frames));
    let limits = BodyLimits { time: Duration::from_millis(300), ..LIMITS };
    let reading = memory.read(&mut body, &limits);
    let read = tokio::time::timeout(Duration::from_secs(5), reading).await;
    assert_eq!(read, Ok(Err(BodyError::Slow)));
}

/// Guards against callers that stop in the middle of their bodies and keep their room while others wait for it; without
/// others they have until the time limit.
#[tokio::test]
async fn a_stalled_body_gives_its_room_back_to_others() {
    for (kept, least, most) in [(3, 0.4, 1.2), (1, 1.9, 4.0)] {
        let memory = BodyMemory::new(&SHARES);
        let mut bodies = Vec::new();
        for _ in 0..kept {
            bodies.push(read(&memory, SIZE).await.expect("room"));
        }
        let (mut sender, body) = Channel::<Bytes, Infallible>::new(4);
        // As of a request with a length of which only a part arrives.
        sender.send_data(vec![b'p'; SIZE / 2 + 1].into()).await.expect("room in the channel");
        let mut body = body.map_frame(|frame| frame);
        let began = Instant::now();
        assert_eq!(memory.read(&mut body, &LIMITS).await, Err(BodyError::Slow));
        let took = began.elapsed().as_secs_f64();
        assert!((least..most).contains(&took), "{kept} bodies held: {took} s");
    }
}

/// Guards against a share that is exceeded, or lost, by some order of bodies that arrive and are dropped.
#[test]
fn no_order_of_bodies_exceeds_the_shares() {
    fn holds(steps: Vec<(bool, u32)>) -> TestResult {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let memory = BodyMemory::new(&SHARES);
        let limits = BodyLimits { wait: Duration::ZERO, ..LIMITS };
        let mut kept: Vec<Bytes> = Vec::new();
        let is_kept = runtime.expect("a runtime").block_on(async {
            for (is_new, number) in steps {
                if is_new {
                    let size = number as usize % (SIZE + 2);
                    kept.extend(memory.read(&mut whole(size), &limits).await);
                } else if !kept.is_empty() {
                    kept.swap_remove(number as usize % kept.len());
                }
                let bytes: usize = kept.iter().map(Bytes::len).sum();
                let bound = SHARES.large_bodies + SHARES.small_bodies;
                if memory.held() > bound || memory.held() < bytes {
                    return false;
                }
            }
            kept.clear();
            memory.held() == 0
        });
        TestResult::from_bool(is_kept)
    }
    QuickCheck::new().tests(100).quickcheck(holds as fn(Vec<(bool, u32)>) -> TestResult);
}
