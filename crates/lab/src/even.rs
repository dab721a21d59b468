//! Schemes that spread load, played in the model of many poolers: their table, what each source of unevenness is worth, and plots.

use crate::{plot, run_parallel};
use linnetdeal_core::Span;
use linnetdeal_fleet::even::{Figures, Plan, Scheme, Sources, run, run_with_chooser, trouble_times};
use std::fmt::Display;
use std::io;
use std::path::Path;
use std::time::Instant;

/// So many plays run at the same time.
const SIDE_BY_SIDE: usize = 3;
/// Decisions that are timed.
const TIMED: usize = 200_000;
/// Ages of what is told in the plot, in ms, and its poolers.
const AGES: [i64; 7] = [20, 50, 100, 200, 500, 1_000, 2_000];
const PLOTTED: usize = 300;

/// What does not go by what is told is the same at every age.
fn ages_of(scheme: Scheme, ages: &[i64]) -> &[i64] {
    if scheme.uses_published_loads() { ages } else { &ages[..ages.len().min(1)] }
}

fn row(name: &str, figures: &Figures) -> String {
    format!(
        "| {name} | {:.2} | {:.0} | {:.0} | {:.4} | {:.4} | {} | {:.1} | {} | {} | {:.2} |",
        figures.peak_to_mean(),
        figures.mean_ms(),
        figures.p99_ms(),
        figures.failed_share(),
        figures.failed_share_beside_idle(),
        figures.idle_seconds,
        figures.max_interval_load,
        figures.herd_events,
        figures.connections,
        figures.messages_per_request(),
    )
}

const HEAD: &str = "| peak to mean | mean ms | p99 ms | bad | beside idle | idle server s | swing | herds | connections | messages a request |";
const RULE: &str = "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Prints all tables, and draws plots into a folder.
///
/// # Errors
///
/// When a plot can't be drawn or written.
pub fn table(
    poolers: &[usize],
    ages: &[i64],
    seed: u64,
    plots: Option<&Path>,
    say: &dyn Fn(&dyn Display),
) -> io::Result<()> {
    for count in poolers {
        let plan = Plan { seed, ..Plan::for_poolers(*count) };
        let plays: Vec<(Scheme, i64)> = Scheme::ALL
            .iter()
            .flat_map(|scheme| ages_of(*scheme, ages).iter().map(|age| (*scheme, *age)))
            .collect();
        say(&format!(
            "\n{count} poolers, {} servers in {} groups, seed {seed}\n",
            plan.servers(),
            plan.groups
        ));
        say(&format!("| scheme, age in ms {HEAD}\n| --- {RULE}"));
        let played = run_parallel(&plays, SIDE_BY_SIDE, |(scheme, age)| {
            run(&Plan { publish_interval: Span::millis(*age), ..plan }, *scheme)
        });
        for ((scheme, age), figures) in plays.iter().zip(&played) {
            let age = if scheme.uses_published_loads() { format!(", {age}") } else { String::new() };
            say(&row(&format!("{}{age}", scheme.name()), figures));
        }
    }
    sources(seed, say);
    cost(seed, say);
    match plots {
        Some(folder) => draw(folder, seed),
        None => Ok(()),
    }
}

/// What is left of the unevenness when one of its sources is taken away, without troubles.
fn sources(seed: u64, say: &dyn Fn(&dyn Display)) {
    let all = Sources::ALL;
    let without = [
        ("all of them", all),
        ("no chance in arrivals and work", Sources { chance: false, ..all }),
        ("equal speeds", Sources { speed: false, ..all }),
        ("no writes, no primaries", Sources { writes: false, ..all }),
        ("no sessions", Sources { sessions: false, ..all }),
        ("zones ask alike", Sources { zones: false, ..all }),
        ("no heavy poolers", Sources { heavy: false, ..all }),
    ];
    let schemes = [Scheme::Random, Scheme::Windows, Scheme::LeastOfStep, Scheme::Central];
    let plan = Plan { seed, seconds: 14, troubles: false, ..Plan::for_poolers(PLOTTED) };
    let plays: Vec<(Sources, Scheme)> =
        without.iter().flat_map(|(_, sources)| schemes.map(|scheme| (*sources, scheme))).collect();
    let played = run_parallel(&plays, SIDE_BY_SIDE, |(sources, scheme)| {
        run(&Plan { sources: *sources, ..plan }, *scheme)
    });
    say(&format!(
        "\nPeak to mean and p99 in ms without one source, {PLOTTED} poolers, no troubles, seed {seed}\n"
    ));
    say(&format!(
        "| | {} |\n| --- {}|",
        schemes.map(Scheme::name).join(" | "),
        "| --- ".repeat(schemes.len())
    ));
    for ((name, _), row) in without.iter().zip(played.chunks(schemes.len())) {
        let cells: Vec<String> =
            row.iter().map(|of| format!("{:.2}, {:.0}", of.peak_to_mean(), of.p99_ms())).collect();
        say(&format!("| {name} | {} |", cells.join(" | ")));
    }
}

/// What a decision takes in the model, the pool of members included that a choice is made from.
fn cost(seed: u64, say: &dyn Fn(&dyn Display)) {
    say(&"\nTime of a decision, ns, one group\n\n| | 120 servers | 2,000 servers |\n| --- | --- | --- |");
    for scheme in [Scheme::Windows, Scheme::LeastOfStep, Scheme::StaleInterpreted, Scheme::Central] {
        let cells = [120, 2_000].map(|members| {
            let plan =
                Plan { seed, groups: 1, members, seconds: 1, troubles: false, ..Plan::for_poolers(50) };
            let (_, mut again) = run_with_chooser(&plan, scheme);
            let began = Instant::now();
            let made = (0..TIMED).filter(|at| again(*at).is_some()).count();
            began.elapsed().as_nanos() / made.max(1) as u128
        });
        say(&format!("| {} | {} | {} |", scheme.name(), cells[0], cells[1]));
    }
}

fn draw(folder: &Path, seed: u64) -> io::Result<()> {
    let plan = Plan { seed, ..Plan::for_poolers(PLOTTED) };
    let schemes = [
        Scheme::LeastPublished,
        Scheme::ForwardPublished,
        Scheme::StaleInterpreted,
        Scheme::Windows,
        Scheme::LeastOfStep,
        Scheme::Central,
    ];
    let plays: Vec<(Scheme, i64)> =
        schemes.iter().flat_map(|scheme| AGES.map(|age| (*scheme, age))).collect();
    let played = run_parallel(&plays, SIDE_BY_SIDE, |(scheme, age)| {
        run(&Plan { publish_interval: Span::millis(*age), ..plan }, *scheme)
    });
    let (mut by_age, mut by_second) = (Vec::new(), Vec::new());
    for (scheme, figures) in schemes.iter().zip(played.chunks(AGES.len())) {
        let points = AGES.iter().zip(figures).map(|(age, of)| (*age as f64 / 1_000.0, of.p99_ms()));
        by_age.push((scheme.name(), points.collect()));
        let fresh = &figures[2].peaks;
        let first = linnetdeal_fleet::even::WARM_UP_SECONDS as f64;
        let points = fresh.iter().enumerate().map(|(at, peak)| (at as f64 + first, *peak));
        by_second.push((scheme.name(), points.collect()));
    }
    let title = format!("99th percentile of reads in ms, by the age of what is told, {PLOTTED} poolers");
    let age = plot::chart(&title, &by_age, 1.0, &[]).map_err(io::Error::other)?;
    plot::write_atomically(&folder.join("even-load-age.svg"), &age)?;
    let title = format!(
        "greatest load of a server against its group's mean, by second, {PLOTTED} poolers, told each 100 ms"
    );
    let second = plot::chart(&title, &by_second, 1.0, &trouble_times()).map_err(io::Error::other)?;
    plot::write_atomically(&folder.join("even-load-second.svg"), &second)
}
