//! The load tool: what is due when, and whose time it counts.

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

fn nowhere() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
}

#[test]
fn one_seed_gives_the_same_arrivals_and_another_gives_others() {
    let one = load(nowhere());
    assert_eq!(one.arrivals(), one.arrivals());
    assert_ne!(one.arrivals(), Load { seed: 5, ..one }.arrivals());
}

#[test]
fn a_ramp_has_its_mean_and_most_of_it_late() {
    let ramp =
        Load { pace: Pace::Open(1_000.0, 3_000.0), duration: Duration::from_secs(20), ..load(nowhere()) };
    let due = ramp.arrivals();
    // 40,000 are expected; the count's own deviation is 200.
    assert!((39_000..41_000).contains(&due.len()), "{}", due.len());
    let early = due.iter().filter(|one| one.at < Duration::from_secs(10)).count();
    // The first half has 15,000 and the second 25,000.
    assert!((14_400..15_600).contains(&early), "{early}");
    assert!(due.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn the_part_of_writes_is_kept() {
    let writes = |part| {
        let load = Load { pace: Pace::Open(10_000.0, 10_000.0), writes: Some(part), ..load(nowhere()) };
        let due = load.arrivals();
        due.iter().filter(|one| one.class == 4).count() as f64 / due.len() as f64
    };
    assert_eq!(writes(0.0), 0.0);
    assert!((0.27..0.33).contains(&writes(0.3)), "{}", writes(0.3));
    assert!(writes(1.0) > 0.999, "{}", writes(1.0));
}

#[test]
fn what_is_too_much_or_nothing_is_told_before_anything_is_sent() {
    let well = load(nowhere());
    let wrong = [
        Load { sessions: 0, ..well.clone() },
        Load { sessions: 100_000, ..well.clone() },
        Load { pace: Pace::Open(0.0, 1.0), ..well.clone() },
        Load { pace: Pace::Open(f64::NAN, 1.0), ..well.clone() },
        Load { pace: Pace::Open(1e9, 1e9), ..well.clone() },
        Load { duration: Duration::ZERO, ..well.clone() },
        Load { warm: Duration::from_secs(1), ..well.clone() },
        Load { writes: Some(1.5), ..well.clone() },
        Load { deadline: Duration::ZERO, ..well.clone() },
    ];
    for load in wrong {
        assert!(matches!(load.run(), Err(LoadError::Bounds(..))), "{load:?}");
    }
    assert!(well.check().is_ok());
}

#[test]
fn times_count_from_when_a_request_was_due_and_not_from_when_a_session_was_free() {
    let (log, recorder) = (Arc::<Log>::default(), Arc::<Mutex<Recorder>>::default());
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    // It does 20 a second at most, and is asked for 100: who waits for a session is late, though each answer by
    // itself is quick. On a slower machine more are late.
    let slow =
        StandInServer::start("slow", ip, true, Duration::from_millis(50), log, recorder).expect("it listens");
    let result = load(slow.address).run().expect("it is played");
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
