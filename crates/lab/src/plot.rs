//! A run as one HTML file that needs no network: its figures, and served share and load over time with the troubles marked.

use crate::emulator::Played;
use linnetdeal_fleet::record::{Record, Sink, What};
use linnetdeal_fleet::sim::{BEGIN, WRITES};
use plotters::prelude::*;
use std::fmt::Write as _;
use std::path::Path;

const SIZE: (u32, u32) = (960, 320);
/// No more troubles are marked than this.
const MOST_MARKS: usize = 200;

/// Keeps when troubles began.
#[derive(Debug, Default)]
pub struct Marks(pub Vec<f64>);

impl Sink for Marks {
    fn take(&mut self, record: Record) {
        if matches!(record.what, What::Trouble | What::Killed) && self.0.len() < MOST_MARKS {
            self.0.push((record.at - BEGIN).0 as f64 / 1e6);
        }
    }
}

/// A line over the seconds of a run, with the troubles as upright lines.
///
/// # Errors
///
/// When it can't be drawn.
pub fn chart(title: &str, points: &[(f64, f64)], top: f64, marks: &[f64]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let words = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|error| words(&error))?;
        let end = points.last().map_or(1.0, |(at, _)| *at).max(1.0);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top.max(f64::MIN_POSITIVE))
            .map_err(|error| words(&error))?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw().map_err(|error| words(&error))?;
        for at in marks {
            let line = [(*at, 0.0), (*at, top)];
            chart.draw_series(LineSeries::new(line, RED.mix(0.5))).map_err(|error| words(&error))?;
        }
        let line = LineSeries::new(points.iter().copied(), BLUE.stroke_width(2));
        chart.draw_series(line).map_err(|error| words(&error))?;
        area.present().map_err(|error| words(&error))?;
    }
    Ok(svg)
}

/// Text as HTML has it.
fn plain(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The report of a run.
///
/// # Errors
///
/// When it can't be drawn.
pub fn report(played: &Played, marks: &Marks) -> Result<String, String> {
    let seconds = || played.outcome.by_second.iter().enumerate().filter(|(_, (asked, _))| *asked > 0);
    let share: Vec<(f64, f64)> =
        seconds().map(|(at, (asked, served))| (at as f64, *served as f64 / *asked as f64)).collect();
    let load: Vec<(f64, f64)> = seconds().map(|(at, (asked, _))| (at as f64, *asked as f64)).collect();
    let most = load.iter().map(|(_, asked)| *asked).fold(1.0, f64::max);
    let mut html = String::new();
    let broken: Vec<String> =
        played.verdict.broken.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    let rules = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
    let _ = write!(
        html,
        "<!doctype html><meta charset=utf-8><title>{0}</title><style>body{{font:14px sans-serif;margin:2em}}td{{padding:2px 12px}}</style><h1>{0}</h1><table>",
        plain(&played.name)
    );
    let p99 = |class: usize| played.outcome.latency[class].value_at_quantile(0.99) as f64 / 1_000.0;
    for (what, figure) in [
        ("first tries", played.outcome.asked.iter().sum::<u64>().to_string()),
        ("served", format!("{:.4}", played.outcome.share())),
        ("writes served", format!("{:.4}", played.outcome.share_of(WRITES))),
        ("writes, p99 in ms", format!("{:.0}", p99(WRITES))),
        ("attempts sent", played.outcome.sent.to_string()),
        ("probes", played.outcome.probes.to_string()),
        ("boxes that fell", played.outcome.fallen.to_string()),
        ("most of a cold box's budget", format!("{:.2}", played.verdict.peak)),
        ("rules broken", rules),
        ("records, digest", format!("{}, {:016x}", played.digest.1, played.digest.0)),
    ] {
        let _ = write!(html, "<tr><td>{what}<td>{}", plain(&figure));
    }
    html.push_str("</table>");
    html.push_str(&chart(
        "served share of first tries, by the second in which they were asked",
        &share,
        1.05,
        &marks.0,
    )?);
    html.push_str(&chart("first tries a second", &load, most * 1.1, &marks.0)?);
    Ok(html)
}

/// Writes a file whole or not at all: a report that is half there would be taken for one.
///
/// # Errors
///
/// When it can't be written.
pub fn write_whole(path: &Path, text: &str) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = Path::new(&beside);
    let written = std::fs::write(beside, text).and_then(|()| std::fs::rename(beside, path));
    if written.is_err() {
        let _ = std::fs::remove_file(beside);
    }
    written
}
