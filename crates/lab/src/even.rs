//! Load-balancing schemes in the model of many poolers: the table of their figures, the effect of each source of
//! unevenness, and plots.

use crate::{plot, run_parallel};
use linnetdeal_core::Span;
use linnetdeal_fleet::even::{Figures, Plan, Scheme, Sources, run, run_with_chooser, trouble_times};
use std::fmt::Display;
use std::io;
use std::path::Path;
use std::time::Instant;

/// Maximum number of concurrent runs.
const MAX_RUNS: usize = 3;
/// Number of decisions that are timed.
const TIMED_DECISIONS: usize = 200_000;
/// Ages of the published loads in the plot, in ms.
const AGES: [i64; 7] = [20, 50, 100, 200, 500, 1_000, 2_000];
/// Number of poolers in the plots.
const PLOT_POOLERS: usize = 300;

/// Ages to run a scheme with: a scheme that does not use published loads gives the same result at every age.
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

const HEADER_CELLS: &str = "| peak to mean | mean ms | p99 ms | bad | beside idle | idle server s | swing | herds | connections | messages a request |";
const SEPARATOR_CELLS: &str = "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Prints all tables through `say`, and draws plots into a folder if one is given.
///
/// # Errors
///
/// When a plot can't be drawn or written.
pub fn print_tables(
    poolers: &[usize],
    ages: &[i64],
    seed: u64,
    plots: Option<&Path>,
    print: &dyn Fn(&dyn Display),
) -> io::Result<()> {
    for count in poolers {
        let plan = Plan { seed, ..Plan::for_poolers(*count) };
        let runs: Vec<(Scheme, i64)> = Scheme::ALL
            .iter()
            .flat_map(|scheme| ages_of(*scheme, ages).iter().map(|age| (*scheme, *age)))
            .collect();
        print(&format!(
            "\n{count} poolers, {} servers in {} groups, seed {seed}\n",
            plan.servers(),
            plan.groups
        ));
        print(&format!("| scheme, age in ms {HEADER_CELLS}\n| --- {SEPARATOR_CELLS}"));
        let results = run_parallel(&runs, MAX_RUNS, |(scheme, age)| {
            run(&Plan { publish_interval: Span::millis(*age), ..plan }, *scheme)
        });
        for ((scheme, age), figures) in runs.iter().zip(&results) {
            let age = if scheme.uses_published_loads() { format!(", {age}") } else { String::new() };
            print(&row(&format!("{}{age}", scheme.name()), figures));
        }
    }
    print_sources(seed, print);
    print_decision_time(seed, print);
    match plots {
        Some(folder) => draw_plots(folder, seed),
        None => Ok(()),
    }
}

/// Prints the unevenness that remains when one of its sources is switched off, without troubles.
fn print_sources(seed: u64, print: &dyn Fn(&dyn Display)) {
    let all = Sources::ALL;
    let variants = [
        ("all of them", all),
        ("no chance in arrivals and work", Sources { chance: false, ..all }),
        ("equal speeds", Sources { speed: false, ..all }),
        ("no writes, no primaries", Sources { writes: false, ..all }),
        ("no sessions", Sources { sessions: false, ..all }),
        ("zones ask alike", Sources { zones: false, ..all }),
        ("no heavy poolers", Sources { heavy: false, ..all }),
    ];
    let schemes = [Scheme::Random, Scheme::Windows, Scheme::LeastOfStep, Scheme::Central];
    let plan = Plan { seed, seconds: 14, troubles: false, ..Plan::for_poolers(PLOT_POOLERS) };
    let runs: Vec<(Sources, Scheme)> =
        variants.iter().flat_map(|(_, sources)| schemes.map(|scheme| (*sources, scheme))).collect();
    let results =
        run_parallel(&runs, MAX_RUNS, |(sources, scheme)| run(&Plan { sources: *sources, ..plan }, *scheme));
    print(&format!(
        "\nPeak to mean and p99 in ms without one source, {PLOT_POOLERS} poolers, no troubles, seed {seed}\n"
    ));
    print(&format!(
        "| | {} |\n| --- {}|",
        schemes.map(Scheme::name).join(" | "),
        "| --- ".repeat(schemes.len())
    ));
    for ((name, _), row) in variants.iter().zip(results.chunks(schemes.len())) {
        let cells: Vec<String> =
            row.iter().map(|run| format!("{:.2}, {:.0}", run.peak_to_mean(), run.p99_ms())).collect();
        print(&format!("| {name} | {} |", cells.join(" | ")));
    }
}

/// Prints the time of a decision in the model, including the time to build the pool of candidate members.
fn print_decision_time(seed: u64, print: &dyn Fn(&dyn Display)) {
    print(&"\nTime of a decision, ns, one group\n\n| | 120 servers | 2,000 servers |\n| --- | --- | --- |");
    for scheme in [Scheme::Windows, Scheme::LeastOfStep, Scheme::StaleInterpreted, Scheme::Central] {
        let cells = [120, 2_000].map(|members| {
            let plan =
                Plan { seed, groups: 1, members, seconds: 1, troubles: false, ..Plan::for_poolers(50) };
            let (_, mut decide) = run_with_chooser(&plan, scheme);
            let start = Instant::now();
            let decision_count = (0..TIMED_DECISIONS).filter(|number| decide(*number).is_some()).count();
            start.elapsed().as_nanos() / decision_count.max(1) as u128
        });
        print(&format!("| {} | {} | {} |", scheme.name(), cells[0], cells[1]));
    }
}

fn draw_plots(folder: &Path, seed: u64) -> io::Result<()> {
    let plan = Plan { seed, ..Plan::for_poolers(PLOT_POOLERS) };
    let schemes = [
        Scheme::LeastPublished,
        Scheme::ForwardPublished,
        Scheme::StaleInterpreted,
        Scheme::Windows,
        Scheme::LeastOfStep,
        Scheme::Central,
    ];
    let runs: Vec<(Scheme, i64)> = schemes.iter().flat_map(|scheme| AGES.map(|age| (*scheme, age))).collect();
    let results = run_parallel(&runs, MAX_RUNS, |(scheme, age)| {
        run(&Plan { publish_interval: Span::millis(*age), ..plan }, *scheme)
    });
    let (mut by_age, mut by_second) = (Vec::new(), Vec::new());
    for (scheme, figures) in schemes.iter().zip(results.chunks(AGES.len())) {
        let points = AGES.iter().zip(figures).map(|(age, figures)| (*age as f64 / 1_000.0, figures.p99_ms()));
        by_age.push((scheme.name(), points.collect()));
        let peaks_by_second = &figures[2].peaks;
        let first = linnetdeal_fleet::even::WARM_UP_SECONDS as f64;
        let points = peaks_by_second.iter().enumerate().map(|(second, peak)| (second as f64 + first, *peak));
        by_second.push((scheme.name(), points.collect()));
    }
    let title = format!("99th percentile of reads in ms, by the age of what is told, {PLOT_POOLERS} poolers");
    let age = plot::chart(&title, &by_age, 1.0, &[]).map_err(io::Error::other)?;
    plot::write_atomically(&folder.join("even-load-age.svg"), &age)?;
    let title = format!(
        "greatest load of a server against its group's mean, by second, {PLOT_POOLERS} poolers, told each 100 ms"
    );
    let second = plot::chart(&title, &by_second, 1.0, &trouble_times()).map_err(io::Error::other)?;
    plot::write_atomically(&folder.join("even-load-second.svg"), &second)
}
