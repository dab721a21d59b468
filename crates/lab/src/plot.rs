//! A run as one HTML file that needs no network: its figures, and over time the served share, load, times by class, what
//! boxes are sent and writes that are held, with the troubles marked.

use crate::emulator::ScenarioRun;
use linnetdeal_core::Time;
use linnetdeal_fleet::record::{Record, RecordKind, Sink};
use linnetdeal_fleet::sim::{BEGIN, WRITE_CLASS};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::path::Path;

const SIZE: (u32, u32) = (960, 320);
/// No more troubles are marked than this.
const MOST_MARKS: usize = 200;

/// More requests than this are not drawn: their times would take too much memory.
const MOST_DRAWN: usize = 4_000_000;
/// The colours of lines, in the order of what they show.
const COLOURS: [RGBColor; 6] =
    [BLUE, RGBColor(0, 140, 70), RGBColor(200, 110, 0), RGBColor(130, 60, 170), BLACK, RGBColor(0, 150, 170)];

/// Keeps of a run what charts show: when troubles began and, if it is to be drawn, times, loads and what is held.
#[derive(Debug)]
pub struct ChartRecorder {
    /// When troubles began, in seconds.
    pub troubles: Vec<f64>,
    begin: Time,
    drawn: Option<Drawn>,
}

impl Default for ChartRecorder {
    fn default() -> Self {
        Self { troubles: Vec::new(), begin: BEGIN, drawn: None }
    }
}

impl ChartRecorder {
    /// For charts of a run that begins then.
    #[must_use]
    pub fn with_charts(begin: Time) -> Self {
        Self { troubles: Vec::new(), begin, drawn: Some(Drawn { writes: WRITE_CLASS, ..Drawn::default() }) }
    }

    /// The same where the class of writes has another number.
    #[must_use]
    pub fn write_class(mut self, class: usize) -> Self {
        if let Some(drawn) = &mut self.drawn {
            drawn.writes = class.min(WRITE_CLASS);
        }
        self
    }
}

#[derive(Clone, Copy, Debug)]
struct Open {
    asked: Time,
    class: usize,
    out: bool,
}

#[derive(Debug, Default)]
struct Drawn {
    open: HashMap<u64, Open>,
    /// The class of writes.
    writes: usize,
    /// By second and class, how long served requests took, in ms.
    took: Vec<[Vec<f32>; 5]>,
    /// By second and box, what it was sent.
    sent: Vec<BTreeMap<u32, u32>>,
    /// Writes that are open with nothing out for them: now, and the most within each second.
    held: usize,
    most_held: Vec<usize>,
    times: usize,
}

/// The place of a second, made if need be.
fn place<T: Default>(of: &mut Vec<T>, second: usize) -> &mut T {
    if of.len() <= second {
        of.resize_with(second + 1, T::default);
    }
    &mut of[second]
}

impl Drawn {
    fn hold(&mut self, second: usize, now: usize) {
        self.held = now;
        let most = place(&mut self.most_held, second);
        *most = (*most).max(now);
    }

    fn take(&mut self, record: &Record, begin: Time) {
        let second = |at: Time| usize::try_from((at - begin).0 / 1_000_000).unwrap_or(0);
        let (now, held) = (second(record.at), self.held);
        let writes = self.writes;
        let write = |of: &Open| of.class == writes;
        match record.what {
            RecordKind::Asked => {
                let class = ((record.b % 256) as usize).min(writes);
                let open = Open { asked: record.at, class, out: false };
                self.open.insert(record.request, open);
                self.hold(now, held + usize::from(write(&open)));
            }
            RecordKind::Sent => {
                *place(&mut self.sent, now).entry(record.b).or_default() += 1;
                if let Some(open) = self.open.get_mut(&record.request).filter(|open| !open.out) {
                    open.out = true;
                    let held = held - usize::from(write(open)).min(held);
                    self.hold(now, held);
                }
            }
            RecordKind::Over => {
                if let Some(open) = self.open.get_mut(&record.request).filter(|open| open.out) {
                    open.out = false;
                    let held = held + usize::from(write(open));
                    self.hold(now, held);
                }
            }
            RecordKind::Served | RecordKind::Refused | RecordKind::Failed => {
                let Some(open) = self.open.remove(&record.request) else { return };
                if !open.out {
                    self.hold(now, held - usize::from(write(&open)).min(held));
                }
                if record.what == RecordKind::Served && self.times < MOST_DRAWN {
                    self.times += 1;
                    let took = (record.at - open.asked).0 as f32 / 1_000.0;
                    place(&mut self.took, second(open.asked))[open.class].push(took);
                }
            }
            _ => {}
        }
    }

    /// The 99th percentile by class over the seconds, in ms.
    fn percentiles(&self, class: usize) -> Vec<(f64, f64)> {
        let of = self.took.iter().enumerate().filter(|(_, of)| !of[class].is_empty());
        of.map(|(second, of)| {
            let mut times = of[class].clone();
            times.sort_by(f32::total_cmp);
            (second as f64, f64::from(times[(times.len() - 1) * 99 / 100]))
        })
        .collect()
    }

    /// What the box that is sent most, the one in the middle and the one that is sent least get in each second, of all
    /// that were ever sent anything.
    fn loads(&self) -> [Vec<(f64, f64)>; 3] {
        let boxes: BTreeSet<u32> = self.sent.iter().flat_map(|of| of.keys().copied()).collect();
        let mut lines = [Vec::new(), Vec::new(), Vec::new()];
        for (second, of) in self.sent.iter().enumerate() {
            let mut counts: Vec<u32> = boxes.iter().map(|one| of.get(one).copied().unwrap_or(0)).collect();
            counts.sort_unstable();
            let Some(last) = counts.len().checked_sub(1) else { continue };
            for (line, at) in lines.iter_mut().zip([last, last / 2, 0]) {
                line.push((second as f64, f64::from(counts[at])));
            }
        }
        lines
    }
}

impl Sink for ChartRecorder {
    fn record(&mut self, record: Record) {
        if matches!(record.what, RecordKind::Trouble | RecordKind::Killed) && self.troubles.len() < MOST_MARKS
        {
            self.troubles.push((record.at - self.begin).0 as f64 / 1e6);
        }
        if let Some(drawn) = &mut self.drawn {
            drawn.take(&record, self.begin);
        }
    }
}

/// A line of a chart: what it shows, and its points.
type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// Lines over the seconds of a run, with the troubles as upright lines. `top` is the least that the scale goes up to.
///
/// # Errors
///
/// When it can't be drawn.
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
        for ((what, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let drawn = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let sample = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2));
            chart.draw_series(drawn)?.label(*what).legend(sample);
        }
        if lines.len() > 1 {
            let labels = SeriesLabelPosition::UpperRight;
            chart.configure_series_labels().position(labels).background_style(WHITE.mix(0.8)).draw()?;
        }
        area.present()?;
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
pub fn report(played: &ScenarioRun, marks: &ChartRecorder) -> Result<String, String> {
    let seconds = || played.outcome.by_second.iter().enumerate().filter(|(_, (asked, _))| *asked > 0);
    let served: Vec<(f64, f64)> =
        seconds().map(|(at, (asked, served))| (at as f64, *served as f64 / *asked as f64)).collect();
    let load: Vec<(f64, f64)> = seconds().map(|(at, (asked, _))| (at as f64, *asked as f64)).collect();
    let mut html = String::new();
    let broken: Vec<String> =
        played.audit_report.violations.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    let rules = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
    let _ = write!(
        html,
        "<!doctype html><meta charset=utf-8><title>{0}</title><style>body{{font:14px sans-serif;margin:2em}}td{{padding:2px 12px}}</style><h1>{0}</h1><table>",
        plain(&played.name)
    );
    let p99 = |class: usize| played.outcome.latency[class].value_at_quantile(0.99) as f64 / 1_000.0;
    for (what, figure) in [
        ("first tries", played.outcome.requests.iter().sum::<u64>().to_string()),
        ("served", format!("{:.4}", played.outcome.served_share())),
        ("writes served", format!("{:.4}", played.outcome.class_served_share(played.outcome.write_class()))),
        ("writes, p99 in ms", format!("{:.0}", p99(played.outcome.write_class()))),
        ("attempts sent", played.outcome.attempts.to_string()),
        ("probes", played.outcome.probes.to_string()),
        ("boxes that fell", played.outcome.collapsed.to_string()),
        ("most of a cold box's budget", format!("{:.2}", played.audit_report.cold_peak)),
        ("rules broken", rules),
        ("records, digest", format!("{}, {:016x}", played.digest.1, played.digest.0)),
    ] {
        let _ = write!(html, "<tr><td>{what}<td>{}", plain(&figure));
    }
    html.push_str("</table>");
    let share = "served share of first tries, by the second in which they were asked";
    html.push_str(&chart(share, &[("served", served)], 1.05, &marks.troubles)?);
    html.push_str(&chart("first tries a second", &[("asked", load)], 1.0, &marks.troubles)?);
    if let Some(drawn) = &marks.drawn {
        let lines: Vec<Line<'_>> = played
            .classes
            .iter()
            .enumerate()
            .map(|(class, name)| (name.as_str(), drawn.percentiles(class)))
            .collect();
        let title = "time of served tries, 99th percentile of those asked in each second, ms";
        html.push_str(&chart(title, &lines, 1.0, &marks.troubles)?);
        let [most, middle, least] = drawn.loads();
        let lines = [("the most", most), ("the middle box", middle), ("the least", least)];
        html.push_str(&chart("attempts that a box is sent in a second", &lines, 1.0, &marks.troubles)?);
        let held = drawn.most_held.iter().enumerate().map(|(at, held)| (at as f64, *held as f64)).collect();
        let title = "writes that wait with nothing sent, the most in each second";
        html.push_str(&chart(title, &[("held", held)], 1.0, &marks.troubles)?);
    }
    Ok(html)
}

/// Writes a file whole or not at all: a report that is half there would be taken for one.
///
/// # Errors
///
/// When it can't be written.
pub fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = Path::new(&beside);
    let written = std::fs::write(beside, text).and_then(|()| std::fs::rename(beside, path));
    if written.is_err() {
        let _ = std::fs::remove_file(beside);
    }
    written
}
