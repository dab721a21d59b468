//! The report of a run as one self-contained HTML file: its figures, and charts over time of the served share, the
//! load, latencies by class, attempts sent to servers and waiting writes. Troubles are marked.

use crate::emulator::ScenarioRun;
use linnetdeal_core::Time;
use linnetdeal_fleet::record::{Record, RecordKind, Sink};
use linnetdeal_fleet::sim::{BEGIN, WRITE_CLASS};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::path::Path;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (960, 320);
/// Maximum number of marked troubles.
const MAX_MARKS: usize = 200;

/// Maximum number of requests whose latencies are kept for the charts, to bound memory.
const MAX_LATENCIES: usize = 4_000_000;
/// Colours of a chart's lines, in their order.
const COLOURS: [RGBColor; 6] =
    [BLUE, RGBColor(0, 140, 70), RGBColor(200, 110, 0), RGBColor(130, 60, 170), BLACK, RGBColor(0, 150, 170)];

/// Collects the data of a run's charts: when troubles began and, if charts are wanted, latencies, loads and waiting
/// writes.
#[derive(Debug)]
pub struct ChartRecorder {
    /// Start times of troubles, in seconds from the start of the run.
    pub troubles: Vec<f64>,
    begin: Time,
    data: Option<ChartData>,
}

impl Default for ChartRecorder {
    fn default() -> Self {
        Self { troubles: Vec::new(), begin: BEGIN, data: None }
    }
}

impl ChartRecorder {
    /// A recorder for the charts of a run that starts at `begin`.
    #[must_use]
    pub fn with_charts(begin: Time) -> Self {
        Self {
            troubles: Vec::new(),
            begin,
            data: Some(ChartData { writes: WRITE_CLASS, ..ChartData::default() }),
        }
    }

    /// Sets the number of the class of writes, if it is not the usual one.
    #[must_use]
    pub fn write_class(mut self, class: usize) -> Self {
        if let Some(data) = &mut self.data {
            data.writes = class.min(WRITE_CLASS);
        }
        self
    }
}

/// A request without a final answer.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    asked_at: Time,
    class: usize,
    in_flight: bool,
}

/// Data of the charts.
#[derive(Debug, Default)]
struct ChartData {
    pending: HashMap<u64, PendingRequest>,
    /// Number of the class of writes.
    writes: usize,
    /// Latencies of served requests by second and class, in ms.
    latencies: Vec<[Vec<f32>; 5]>,
    /// Number of attempts sent, by second and server.
    sent: Vec<BTreeMap<u32, u32>>,
    /// Number of writes that wait without an attempt under way.
    waiting: usize,
    /// Maximum of that number in each second.
    max_waiting: Vec<usize>,
    /// Number of latencies kept.
    latency_count: usize,
}

/// The entry of a second; the vector grows as needed.
fn entry_for<T: Default>(seconds: &mut Vec<T>, second: usize) -> &mut T {
    if seconds.len() <= second {
        seconds.resize_with(second + 1, T::default);
    }
    &mut seconds[second]
}

impl ChartData {
    fn set_waiting(&mut self, second: usize, now: usize) {
        self.waiting = now;
        let most = entry_for(&mut self.max_waiting, second);
        *most = (*most).max(now);
    }

    fn add(&mut self, record: &Record, begin: Time) {
        let second = |time: Time| usize::try_from((time - begin).0 / 1_000_000).unwrap_or(0);
        let (now, waiting) = (second(record.at), self.waiting);
        let writes = self.writes;
        let is_write = |request: &PendingRequest| request.class == writes;
        match record.what {
            RecordKind::Asked => {
                let class = ((record.b % 256) as usize).min(writes);
                let pending = PendingRequest { asked_at: record.at, class, in_flight: false };
                self.pending.insert(record.request, pending);
                self.set_waiting(now, waiting + usize::from(is_write(&pending)));
            }
            RecordKind::Sent => {
                *entry_for(&mut self.sent, now).entry(record.b).or_default() += 1;
                if let Some(pending) =
                    self.pending.get_mut(&record.request).filter(|pending| !pending.in_flight)
                {
                    pending.in_flight = true;
                    let waiting = waiting - usize::from(is_write(pending)).min(waiting);
                    self.set_waiting(now, waiting);
                }
            }
            RecordKind::Over => {
                if let Some(pending) =
                    self.pending.get_mut(&record.request).filter(|pending| pending.in_flight)
                {
                    pending.in_flight = false;
                    let waiting = waiting + usize::from(is_write(pending));
                    self.set_waiting(now, waiting);
                }
            }
            RecordKind::Served | RecordKind::Refused | RecordKind::Failed => {
                let Some(pending) = self.pending.remove(&record.request) else { return };
                if !pending.in_flight {
                    self.set_waiting(now, waiting - usize::from(is_write(&pending)).min(waiting));
                }
                if record.what == RecordKind::Served && self.latency_count < MAX_LATENCIES {
                    self.latency_count += 1;
                    let latency = (record.at - pending.asked_at).0 as f32 / 1_000.0;
                    entry_for(&mut self.latencies, second(pending.asked_at))[pending.class].push(latency);
                }
            }
            _ => {}
        }
    }

    /// The 99th percentile of a class's latencies in each second, in ms.
    fn percentiles(&self, class: usize) -> Vec<(f64, f64)> {
        let seconds = self.latencies.iter().enumerate().filter(|(_, by_class)| !by_class[class].is_empty());
        seconds
            .map(|(second, by_class)| {
                let mut sorted = by_class[class].clone();
                sorted.sort_by(f32::total_cmp);
                (second as f64, f64::from(sorted[(sorted.len() - 1) * 99 / 100]))
            })
            .collect()
    }

    /// Attempts per second sent to the most loaded, the median and the least loaded server, of all servers that were
    /// sent any in the run.
    fn loads(&self) -> [Vec<(f64, f64)>; 3] {
        let servers: BTreeSet<u32> =
            self.sent.iter().flat_map(|by_server| by_server.keys().copied()).collect();
        let mut lines = [Vec::new(), Vec::new(), Vec::new()];
        for (second, by_server) in self.sent.iter().enumerate() {
            let mut counts: Vec<u32> =
                servers.iter().map(|server| by_server.get(server).copied().unwrap_or(0)).collect();
            counts.sort_unstable();
            let Some(last) = counts.len().checked_sub(1) else { continue };
            for (line, index) in lines.iter_mut().zip([last, last / 2, 0]) {
                line.push((second as f64, f64::from(counts[index])));
            }
        }
        lines
    }
}

impl Sink for ChartRecorder {
    fn record(&mut self, record: Record) {
        if matches!(record.what, RecordKind::Trouble | RecordKind::Killed) && self.troubles.len() < MAX_MARKS
        {
            self.troubles.push((record.at - self.begin).0 as f64 / 1e6);
        }
        if let Some(data) = &mut self.data {
            data.add(&record, self.begin);
        }
    }
}

/// A line of a chart: its label and its points.
type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// Draws a chart over the seconds of a run as SVG, with vertical lines at `marks`. The scale goes up to `top` at
/// least.
///
/// # Errors
///
/// When the chart can't be drawn.
pub fn chart(title: &str, lines: &[Line<'_>], top: f64, marks: &[f64]) -> Result<String, String> {
    draw(title, lines, top, marks).map_err(|error| error.to_string())
}

fn draw(
    title: &str,
    lines: &[Line<'_>],
    top: f64,
    marks: &[f64],
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let points = || lines.iter().flat_map(|(_, points)| points);
        let end = points().map(|(at, _)| *at).fold(1.0, f64::max);
        let top = points().map(|(_, value)| *value * 1.05).fold(top.max(f64::MIN_POSITIVE), f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        for at in marks {
            chart.draw_series(LineSeries::new([(*at, 0.0), (*at, top)], RED.mix(0.5)))?;
        }
        for ((label, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let series = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let sample = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2));
            chart.draw_series(series)?.label(*label).legend(sample);
        }
        if lines.len() > 1 {
            let labels = SeriesLabelPosition::UpperRight;
            chart.configure_series_labels().position(labels).background_style(WHITE.mix(0.8)).draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The report of a run as HTML.
///
/// # Errors
///
/// When a chart can't be drawn.
pub fn report(run: &ScenarioRun, charts: &ChartRecorder) -> Result<String, String> {
    let seconds = || run.outcome.by_second.iter().enumerate().filter(|(_, (asked, _))| *asked > 0);
    let served: Vec<(f64, f64)> =
        seconds().map(|(second, (asked, served))| (second as f64, *served as f64 / *asked as f64)).collect();
    let load: Vec<(f64, f64)> =
        seconds().map(|(second, (asked, _))| (second as f64, *asked as f64)).collect();
    let mut html = String::new();
    let broken: Vec<String> =
        run.audit_report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    let rules = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
    let _ = write!(
        html,
        "<!doctype html><meta charset=utf-8><title>{0}</title><style>body{{font:14px sans-serif;margin:2em}}td{{padding:2px 12px}}</style><h1>{0}</h1><table>",
        escape_html(&run.name)
    );
    let p99 = |class: usize| run.outcome.latency[class].value_at_quantile(0.99) as f64 / 1_000.0;
    for (label, figure) in [
        ("first tries", run.outcome.requests.iter().sum::<u64>().to_string()),
        ("served", format!("{:.4}", run.outcome.served_share())),
        ("writes served", format!("{:.4}", run.outcome.class_served_share(run.outcome.write_class()))),
        ("writes, p99 in ms", format!("{:.0}", p99(run.outcome.write_class()))),
        ("attempts sent", run.outcome.attempts.to_string()),
        ("probes", run.outcome.probes.to_string()),
        ("boxes that fell", run.outcome.collapsed.to_string()),
        ("most of a cold box's budget", format!("{:.2}", run.audit_report.cold_peak)),
        ("rules broken", rules),
        ("records, digest", format!("{}, {:016x}", run.digest.1, run.digest.0)),
    ] {
        let _ = write!(html, "<tr><td>{label}<td>{}", escape_html(&figure));
    }
    html.push_str("</table>");
    let share = "served share of first tries, by the second in which they were asked";
    html.push_str(&chart(share, &[("served", served)], 1.05, &charts.troubles)?);
    html.push_str(&chart("first tries a second", &[("asked", load)], 1.0, &charts.troubles)?);
    if let Some(data) = &charts.data {
        let lines: Vec<Line<'_>> = run
            .classes
            .iter()
            .enumerate()
            .map(|(class, name)| (name.as_str(), data.percentiles(class)))
            .collect();
        let title = "time of served tries, 99th percentile of those asked in each second, ms";
        html.push_str(&chart(title, &lines, 1.0, &charts.troubles)?);
        let [most, middle, least] = data.loads();
        let lines = [("the most", most), ("the middle box", middle), ("the least", least)];
        html.push_str(&chart("attempts that a box is sent in a second", &lines, 1.0, &charts.troubles)?);
        let waiting = data
            .max_waiting
            .iter()
            .enumerate()
            .map(|(second, waiting)| (second as f64, *waiting as f64))
            .collect();
        let title = "writes that wait with nothing sent, the most in each second";
        html.push_str(&chart(title, &[("held", waiting)], 1.0, &charts.troubles)?);
    }
    Ok(html)
}

/// Writes a file atomically, so that a partly written report is never taken for a complete one.
///
/// # Errors
///
/// When the file can't be written.
pub fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".part");
    let temporary = Path::new(&temporary);
    let written = std::fs::write(temporary, text).and_then(|()| std::fs::rename(temporary, path));
    if written.is_err() {
        let _ = std::fs::remove_file(temporary);
    }
    written
}
