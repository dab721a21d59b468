//! The load generator: due times of requests, limits, and how latency is counted.

use linnetdeal_lab::boxes::{Log, StandInServer};
use linnetdeal_lab::load::{Load, LoadError, Pace};
use linnetdeal_lab::recorder::Recorder;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn load(to: SocketAddr) -> Load {
    Load {
        to,
        sessions: 1,
        pace: Pace::Open(100.0, 100.0),
        duration: Duration::from_secs(1),
        warm: Duration::ZERO,
        deadline: Duration::from_secs(10),
        writes: None,
        seed: 4,
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
}

#[test]
fn arrivals_depend_on_the_seed_only() {
    let one = load(unused_address());
    assert_eq!(one.arrivals(), one.arrivals());
    assert_ne!(one.arrivals(), Load { seed: 5, ..one }.arrivals());
}

#[test]
fn a_ramp_has_the_mean_rate_and_most_requests_in_its_second_half() {
    let ramp = Load {
        pace: Pace::Open(1_000.0, 3_000.0),
        duration: Duration::from_secs(20),
        ..load(unused_address())
    };
    let due = ramp.arrivals();
    // The expected count is 40,000, with a standard deviation of 200.
    assert!((39_000..41_000).contains(&due.len()), "{}", due.len());
    let early = due.iter().filter(|one| one.at < Duration::from_secs(10)).count();
    // Expected are 15,000 in the first half and 25,000 in the second.
    assert!((14_400..15_600).contains(&early), "{early}");
    assert!(due.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn the_share_of_writes_is_kept() {
    let writes = |share| {
        let load =
            Load { pace: Pace::Open(10_000.0, 10_000.0), writes: Some(share), ..load(unused_address()) };
        let due = load.arrivals();
        due.iter().filter(|one| one.class == 4).count() as f64 / due.len() as f64
    };
    assert_eq!(writes(0.0), 0.0);
    assert!((0.27..0.33).contains(&writes(0.3)), "{}", writes(0.3));
    assert!(writes(1.0) > 0.999, "{}", writes(1.0));
}

#[test]
fn parameters_out_of_range_are_refused_before_anything_is_sent() {
    let valid = load(unused_address());
    let invalid = [
        Load { sessions: 0, ..valid.clone() },
        Load { sessions: 100_000, ..valid.clone() },
        Load { pace: Pace::Open(0.0, 1.0), ..valid.clone() },
        Load { pace: Pace::Open(f64::NAN, 1.0), ..valid.clone() },
        Load { pace: Pace::Open(1e9, 1e9), ..valid.clone() },
        Load { duration: Duration::ZERO, ..valid.clone() },
        Load { warm: Duration::from_secs(1), ..valid.clone() },
        Load { writes: Some(1.5), ..valid.clone() },
        Load { deadline: Duration::ZERO, ..valid.clone() },
    ];
    for load in invalid {
        assert!(matches!(load.run(), Err(LoadError::Bounds(..))), "{load:?}");
    }
    assert!(valid.check().is_ok());
}

#[test]
fn latency_counts_from_the_due_time_and_not_from_when_a_session_was_free() {
    let (log, recorder) = (Arc::<Log>::default(), Arc::<Mutex<Recorder>>::default());
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    // The server's capacity is 20 requests per second and the load is 100: requests that wait for a session are late,
    // although each answer by itself is quick. On a slower machine more are late.
    let slow = StandInServer::start("slow", ip, true, Duration::from_millis(50), log, recorder)
        .expect("the server listens");
    let result = load(slow.address).run().expect("the load runs");
    let all = result.all();
    assert!(all.served() > 0 && all.served() == all.total(), "{:?}", all.answers);
    assert!(all.served() <= 21, "{}", all.served());
    assert!(all.from_due.max() > 500_000, "{} us", all.from_due.max());
    assert!(
        all.from_due.max() > 2 * all.from_written.min(),
        "{} and {}",
        all.from_due.max(),
        all.from_written.min()
    );
    assert!(result.never_sent > 20, "{}", result.never_sent);
}
