//! The simulation of many poolers, shortened: runs are reproducible, publishing loads causes herds, and choosing
//! the least loaded of the forward step by the pooler's own answers does better than a threshold.

use linnetdeal_core::Span;
use linnetdeal_fleet::even::{ChoicePool, Figures, Plan, Scheme, Sources, run};

/// 60 poolers and 24 servers for 14 s, with a step in load and servers that slow down.
fn plan(seed: u64) -> Plan {
    Plan { seed, groups: 3, members: 8, seconds: 14, ..Plan::for_poolers(60) }
}

fn summary(figures: &Figures) -> String {
    format!(
        "peak to mean {:.2}, p99 {:.0} ms, failed {:.4}, idle {} s, max load in 250 ms {:.1}, herds {}, connections {}",
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
fn a_seed_gives_the_same_run_and_the_same_arrivals_for_each_scheme() {
    let [first, same, other] =
        [Scheme::Windows, Scheme::Windows, Scheme::Random].map(|scheme| run(&plan(3), scheme));
    assert_eq!(summary(&first), summary(&same));
    assert_eq!((first.requests, first.attempts, first.late), (same.requests, same.attempts, same.late));
    // Requests that are still open at the end are not counted, and their number differs.
    assert!(
        first.requests.abs_diff(other.requests) < first.requests / 50,
        "{} {}",
        first.requests,
        other.requests
    );
}

#[test]
fn least_of_step_beats_the_threshold_without_herding() {
    for seed in [1, 2, 3] {
        let before = run(&plan(seed), Scheme::Windows);
        let now = run(&plan(seed), Scheme::LeastOfStep);
        let (before_summary, now_summary) = (summary(&before), summary(&now));
        assert!(
            now.p99_ms() < before.p99_ms() && now.failed_share() <= before.failed_share(),
            "seed {seed}: {now_summary}, was {before_summary}"
        );
        assert!(now.herd_events == 0 && now.idle_seconds == 0, "seed {seed}: {now_summary}");
        assert!(
            now.connections < before.connections * 11 / 10,
            "seed {seed}: {now_summary}, was {before_summary}"
        );
    }
}

#[test]
fn choosing_the_least_published_load_causes_herding() {
    let stale = Plan { publish_interval: Span::millis(500), ..plan(1) };
    let least_published = run(&stale, Scheme::LeastPublished);
    let least_of_step = run(&stale, Scheme::LeastOfStep);
    assert!(
        least_published.herd_events > 0 && least_of_step.herd_events == 0,
        "{}, least of the step {}",
        summary(&least_published),
        summary(&least_of_step)
    );
    assert!(
        least_published.failed_share() > 10.0 * least_of_step.failed_share(),
        "{}, least of the step {}",
        summary(&least_published),
        summary(&least_of_step)
    );
    let interpreted = run(&stale, Scheme::StaleInterpreted);
    assert!(
        interpreted.herd_events == 0 && interpreted.failed_share() < least_published.failed_share(),
        "{}",
        summary(&interpreted)
    );
}

#[test]
fn central_choice_is_the_best_and_choosing_within_zones_overloads() {
    let central = run(&plan(1), Scheme::Central);
    for scheme in Scheme::ALL.into_iter().filter(|scheme| *scheme != Scheme::Central) {
        let figures = run(&plan(1), scheme);
        assert!(
            central.p99_ms() < figures.p99_ms(),
            "{}: {}, central {}",
            scheme.name(),
            summary(&figures),
            summary(&central)
        );
    }
    let zone = run(&plan(1), Scheme::TwoChoices(ChoicePool::Zone));
    assert!(zone.failed_share() > 10.0 * central.failed_share(), "{}", summary(&zone));
}

#[test]
fn load_is_even_without_the_sources_of_unevenness() {
    let no_sources =
        Sources { chance: false, speed: false, writes: false, sessions: false, zones: false, heavy: false };
    let calm = Plan { troubles: false, seconds: 8, ..plan(1) };
    let central = run(&calm, Scheme::Central);
    let bare = run(&Plan { sources: no_sources, ..calm }, Scheme::Central);
    assert!(
        bare.peak_to_mean() < 1.15 && bare.peak_to_mean() < central.peak_to_mean(),
        "{}, with all sources {}",
        summary(&bare),
        summary(&central)
    );
}
