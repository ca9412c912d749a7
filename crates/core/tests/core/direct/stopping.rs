//! Schedules of planned stops.

use plantain_core::direct::stopping::StopSchedule;
use quickcheck::QuickCheck;
use std::time::Duration;

struct StopCase {
    stop_time: Duration,
    /// Least time in which requests are taken.
    least_intake: Duration,
    /// Least time from the last request to the end of its call.
    least_run: Duration,
}

/// Guards against a router that leaves before the load balancer has noticed, after two failed checks a second apart, and
/// against one that takes requests for so long that they cannot end.
#[test]
fn requests_are_taken_until_the_balancer_knows_and_have_time_to_end() {
    let cases = [(8_000, 2_000, 4_000), (30_000, 2_000, 25_000), (2_000, 500, 200)].map(
        |(stop, intake, run)| StopCase {
            stop_time: Duration::from_millis(stop),
            least_intake: Duration::from_millis(intake),
            least_run: Duration::from_millis(run),
        },
    );
    let began = Duration::from_secs(5);
    for StopCase { stop_time, least_intake, least_run } in cases {
        let stop = StopSchedule::new(began, stop_time);
        let intake = stop.intake_end().checked_sub(began).expect("after the signal");
        let run = stop.calls_end().checked_sub(stop.intake_end()).expect("after the intake");
        assert!(intake >= least_intake && intake < Duration::from_secs(3), "{stop:?}");
        assert!(run >= least_run, "{stop:?}");
    }
}

/// Guards against a stop of any length whose steps are out of order or come after the kill.
#[test]
fn the_steps_of_a_stop_are_in_order() {
    fn holds(began_ms: u32, stop_ms: u32) -> bool {
        let began = Duration::from_millis(began_ms.into());
        let stop_time = Duration::from_millis(1 + u64::from(stop_ms));
        let stop = StopSchedule::new(began, stop_time);
        began <= stop.intake_end()
            && stop.intake_end() <= stop.calls_end()
            && stop.calls_end() <= stop.exit()
            && stop.exit() < began + stop_time
    }
    QuickCheck::new().tests(1_000).quickcheck(holds as fn(u32, u32) -> bool);
}
