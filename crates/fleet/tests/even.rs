//! The model of many poolers, in short: it is the same each time, shows the herd, and what the forward step by own answers brings.

use linnetdeal_core::Span;
use linnetdeal_fleet::even::{ChoicePool, Figures, Plan, Scheme, Sources, run};

/// 60 poolers over 24 servers for 14 s: a step and servers that turn slow.
fn plan(seed: u64) -> Plan {
    Plan { seed, groups: 3, members: 8, seconds: 14, ..Plan::for_poolers(60) }
}

fn told(figures: &Figures) -> String {
    format!(
        "peak {:.2}, p99 {:.0} ms, bad {:.4}, idle {}, swing {:.1}, herds {}, connections {}",
        figures.peak_to_mean(),
        figures.p99_ms(),
        figures.failed_share(),
        figures.idle_seconds,
        figures.max_interval_load,
        figures.herd_events,
        figures.connections
    )
}

#[test]
fn a_seed_gives_the_same_play_and_the_same_arrivals_to_each_scheme() {
    let [one, same, other] =
        [Scheme::Windows, Scheme::Windows, Scheme::Random].map(|scheme| run(&plan(3), scheme));
    assert_eq!(told(&one), told(&same));
    assert_eq!((one.requests, one.attempts, one.late), (same.requests, same.attempts, same.late));
    // What is still out at the end is not counted, and that differs.
    assert!(one.requests.abs_diff(other.requests) < one.requests / 50, "{} {}", one.requests, other.requests);
}

#[test]
fn the_least_of_the_step_is_better_than_the_threshold_and_nobody_herds() {
    for seed in [1, 2, 3] {
        let before = run(&plan(seed), Scheme::Windows);
        let now = run(&plan(seed), Scheme::LeastOfStep);
        let (was, is) = (told(&before), told(&now));
        assert!(
            now.p99_ms() < before.p99_ms() && now.failed_share() <= before.failed_share(),
            "seed {seed}: {is}, was {was}"
        );
        assert!(now.herd_events == 0 && now.idle_seconds == 0, "seed {seed}: {is}");
        assert!(now.connections < before.connections * 11 / 10, "seed {seed}: {is}, was {was}");
    }
}

#[test]
fn the_least_loaded_by_what_all_are_told_is_a_herd() {
    let stale = Plan { publish_interval: Span::millis(500), ..plan(1) };
    let herd = run(&stale, Scheme::LeastPublished);
    let own = run(&stale, Scheme::LeastOfStep);
    assert!(herd.herd_events > 0 && own.herd_events == 0, "{}, by own answers {}", told(&herd), told(&own));
    assert!(
        herd.failed_share() > 10.0 * own.failed_share(),
        "{}, by own answers {}",
        told(&herd),
        told(&own)
    );
    let interpreted = run(&stale, Scheme::StaleInterpreted);
    assert!(
        interpreted.herd_events == 0 && interpreted.failed_share() < herd.failed_share(),
        "{}",
        told(&interpreted)
    );
}

#[test]
fn who_knows_all_is_the_limit_and_zones_alone_crowd() {
    let all = run(&plan(1), Scheme::Central);
    for scheme in Scheme::ALL.into_iter().filter(|scheme| *scheme != Scheme::Central) {
        let figures = run(&plan(1), scheme);
        assert!(
            all.p99_ms() < figures.p99_ms(),
            "{}: {}, all known {}",
            scheme.name(),
            told(&figures),
            told(&all)
        );
    }
    let zone = run(&plan(1), Scheme::TwoChoices(ChoicePool::Zone));
    assert!(zone.failed_share() > 10.0 * all.failed_share(), "{}", told(&zone));
}

#[test]
fn without_its_sources_there_is_no_unevenness_to_speak_of() {
    let none =
        Sources { chance: false, speed: false, writes: false, sessions: false, zones: false, heavy: false };
    let calm = Plan { troubles: false, seconds: 8, ..plan(1) };
    let all = run(&calm, Scheme::Central);
    let bare = run(&Plan { sources: none, ..calm }, Scheme::Central);
    assert!(
        bare.peak_to_mean() < 1.15 && bare.peak_to_mean() < all.peak_to_mean(),
        "{}, with all sources {}",
        told(&bare),
        told(&all)
    );
}
