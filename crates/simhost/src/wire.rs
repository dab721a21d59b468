//! The adapter: text lines in, text lines out, one [`Router`] per instance. It translates and
//! decides nothing; instances share nothing but the numbered lists that the wire itself shares.

use linnetdeal_core::Router;
use linnetdeal_core::settings::{Pairs, Parsed, span_from_ms};
use linnetdeal_core::*;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::sync::Arc;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// A line could not be understood.
    #[error("line {line}: {what}")]
    Line {
        /// Its number, from 1.
        line: u64,
        /// What is wrong.
        what: String,
    },
    /// The input ended inside a batch.
    #[error("line {line}: the input ended inside a batch, before 'commit'")]
    Cut {
        /// The last line's number.
        line: u64,
    },
}

struct Instance {
    router: Router,
    settings: Settings,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

/// Reads batches from `input` and writes replies to `output` until the input ends.
///
/// # Errors
///
/// When a line is malformed, the input ends inside a batch, or input or output fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut adapter = Adapter::default();
    let mut lines = 0_u64;
    for line in input.lines() {
        let line = line?;
        lines += 1;
        let reply = adapter.line(&line).map_err(|what| WireError::Line { line: lines, what })?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    if adapter.batch.is_some() || adapter.lines_owed > 0 {
        return Err(WireError::Cut { line: lines });
    }
    Ok(())
}

#[derive(Default)]
struct Adapter {
    instances: HashMap<u64, Instance>,
    lists: HashMap<u64, Vec<Entry>>,
    batch: Option<(Time, u64)>,
    filling: u64,
    lines_owed: usize,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// Takes one line; gives the reply when it ends a batch.
    fn line(&mut self, line: &str) -> Parsed<Option<String>> {
        let mut parts = Parts::new(line);
        let word = parts.text("message")?;
        if self.lines_owed > 0 && word != "m" {
            return Err(format!("'{word}' where a list line 'm' is due"));
        }
        let Some((now, number)) = self.batch else {
            if word.is_empty() {
                return Ok(None);
            }
            if word != "frame" {
                return Err(format!("'{word}' outside a batch"));
            }
            self.batch = Some((parts.time("clock")?, parts.integer("batch number")?));
            return Ok(None);
        };
        match word {
            "commit" => {
                self.batch = None;
                let _ = writeln!(self.reply, "ack {number}");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "census" => {
                self.filling = parts.integer("Buffer")?;
                self.lines_owed = parts.integer("NodesList")? as usize;
                self.lists.insert(self.filling, Vec::new());
            }
            "m" if self.lines_owed > 0 => {
                let entry = entry(&mut parts)?;
                self.lists.entry(self.filling).or_default().push(entry);
                self.lines_owed -= 1;
            }
            "start" => {
                let id = parts.integer("ProxyId")?;
                let seed = parts.integer("InitSeed")?;
                let settings = Settings { peers: false, ..Pairs::from_parts(parts.0).settings()? };
                let index = |names: Vec<&str>| {
                    names.into_iter().enumerate().map(|(at, name)| (name.to_owned(), at)).collect()
                };
                let instance = Instance {
                    router: Router::new(seed, settings.clone()),
                    classes: index(settings.classes.iter().map(|c| c.name.as_str()).collect()),
                    tenants: index(settings.tenants.iter().map(|t| t.name.as_str()).collect()),
                    settings,
                };
                self.instances.insert(id, instance);
            }
            "stop" => {
                self.instances.remove(&parts.integer("ProxyId")?);
            }
            _ => {
                let id = parts.integer("ProxyId")?;
                let instance =
                    self.instances.get_mut(&id).ok_or_else(|| format!("instance {id} is not running"))?;
                if let Some(event) = event(word, &mut parts, instance, &self.lists)? {
                    instance.router.handle(now, event, &mut self.actions);
                    for action in self.actions.drain(..) {
                        put(&mut self.reply, id, &action);
                    }
                }
            }
        }
        Ok(None)
    }
}

/// Turns an event line of a running instance into an event; `None` for a message of a peer.
fn event(
    word: &str,
    parts: &mut Parts<'_>,
    instance: &Instance,
    lists: &HashMap<u64, Vec<Entry>>,
) -> Parsed<Option<Event>> {
    Ok(Some(match word {
        "directory_update" => {
            let scope = parts.text("Scope")?;
            let _rev = parts.text("Rev")?;
            let buffer = parts.text("Buffer")?;
            if scope == "error" {
                return Ok(Some(Event::List(Listing::Failed)));
            }
            let number: u64 = buffer.parse().map_err(|_| format!("Buffer '{buffer}' is no number"))?;
            let entries = lists.get(&number).ok_or_else(|| format!("list {number} was never sent"))?.clone();
            Event::List(match scope {
                "diff" => Listing::Changes(entries),
                "snapshot" | "disk" => Listing::Full(entries),
                other => return Err(format!("unknown Scope '{other}'")),
            })
        }
        "new_request" => {
            let id = RequestId(parts.integer("Job")?);
            let lane = parts.text("Lane")?;
            let class = *instance.classes.get(lane).ok_or_else(|| format!("unknown Lane '{lane}'"))?;
            let tenant = parts.text("Owner")?;
            let session = parts.optional("ClientKey")?;
            let left = parts.span("Left")?;
            let cost: Option<f64> = parts.optional("Cost")?;
            let group = GroupId(parts.number("PartitionNo")? as i64);
            let last_write: Option<f64> = parts.optional("LastWriteMs")?;
            let bits: u64 = parts.optional("Attrs")?.unwrap_or(0);
            Event::Request(Request {
                id,
                class: ClassId(class),
                tenant: instance.tenants.get(tenant).map(|at| TenantId(*at)),
                session: session.map(SessionKey),
                left,
                group,
                last_write: last_write.filter(|ms| *ms > 0.0).map(span_from_ms),
                cost: cost.filter(|_| bits & 1 != 0).map(span_from_ms),
                retry: bits & 2 != 0,
            })
        }
        "vanished" => Event::Gone(RequestId(parts.integer("Job")?)),
        "tick_due" => Event::Wake,
        "accepted" => Event::Streaming(RequestId(parts.integer("Job")?)),
        "response" => {
            let request = RequestId(parts.integer("Job")?);
            let attempt = AttemptNo(parts.integer("Trial")? as u32);
            let took = parts.span("TimeTaken")?;
            let mark: Option<u64> = parts.optional("Mark")?;
            let verdict = verdict(parts.text("Verdict")?)?;
            let member = parts.member()?;
            let closed = parts.text("Complete")? == "1";
            let report = parts.report()?;
            let note = mark.filter(|mark| *mark > 0).map(|mark| Note {
                role: match mark % 4 {
                    1 => Some(Role::Primary),
                    2 => Some(Role::Replica),
                    _ => None,
                },
                position: (mark >= 4)
                    .then(|| instance.settings.zero + Span((mark / 4).min(1 << 50) as i64 * 1_000)),
            });
            Event::Outcome(Outcome { request, attempt, member, verdict, note, took, closed, report })
        }
        "pong" => Event::Probed {
            member: parts.member()?,
            verdict: verdict(parts.text("Verdict")?)?,
            took: parts.span("TimeTaken")?,
            report: parts.report()?,
        },
        "memo" => return Ok(None),
        other => return Err(format!("unknown message '{other}'")),
    }))
}

fn verdict(word: &str) -> Parsed<Verdict> {
    Ok(match word {
        "completed" => Verdict::Ok,
        "errored" => Verdict::Error,
        "saturated" => Verdict::Full,
        "overdue" => Verdict::Timeout,
        "refused_conn" => Verdict::ConnectFailed,
        "severed" => Verdict::Reset,
        "recalled" => Verdict::Cancelled,
        "superseded" => Verdict::Moot,
        "lookup_miss" => Verdict::Miss,
        other => return Err(format!("unknown Verdict '{other}'")),
    })
}

fn entry(parts: &mut Parts<'_>) -> Parsed<Entry> {
    let member = parts.member()?;
    let zone = parts.text("Hall")?.to_owned();
    let _kind = parts.text("Kind")?;
    let primary = parts.optional::<f64>("Head")?.is_some_and(|head| head > 0.0);
    let group = GroupId(parts.number("Group")? as i64);
    let state = match parts.text("StageState")? {
        "healthy" => ListState::Healthy,
        "cordoned" => ListState::Draining,
        "deregistered" => ListState::Gone,
        other => return Err(format!("unknown StageState '{other}'")),
    };
    let _weight = parts.text("PowerHint")?;
    let started: Option<f64> = parts.optional("OnlineSince")?;
    let started = started.filter(|ms| *ms > 0.0).map(|ms| Time(span_from_ms(ms).0));
    Ok(Entry { member, group, state, primary, started, zone })
}

/// The parts of a line, in order.
struct Parts<'a>(std::str::Split<'a, char>);

impl<'a> Parts<'a> {
    fn new(line: &'a str) -> Self {
        Self(line.split(' '))
    }

    fn text(&mut self, what: &str) -> Parsed<&'a str> {
        self.0.next().ok_or_else(|| format!("{what} is missing"))
    }

    fn integer(&mut self, what: &str) -> Parsed<u64> {
        let text = self.text(what)?;
        text.parse().map_err(|_| format!("{what}: '{text}' is no whole number"))
    }

    fn number(&mut self, what: &str) -> Parsed<f64> {
        let text = self.text(what)?;
        text.parse().map_err(|_| format!("{what}: '{text}' is no number"))
    }

    fn optional<T: std::str::FromStr>(&mut self, what: &str) -> Parsed<Option<T>> {
        let text = self.text(what)?;
        if text == "-" {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| format!("{what}: '{text}' is no number"))
    }

    fn span(&mut self, what: &str) -> Parsed<Span> {
        Ok(span_from_ms(self.number(what)?))
    }

    fn time(&mut self, what: &str) -> Parsed<Time> {
        Ok(Time(self.span(what)?.0))
    }

    fn member(&mut self) -> Parsed<MemberId> {
        let text = self.text("Database")?;
        if text.is_empty() { Err("Database is empty".into()) } else { Ok(MemberId(Arc::from(text))) }
    }

    fn report(&mut self) -> Parsed<Option<Vec<f64>>> {
        let text = self.text("Stats")?;
        if text == "-" {
            return Ok(None);
        }
        let values: Result<_, _> = text.split(',').map(str::parse).collect();
        values.map(Some).map_err(|_| format!("Stats: '{text}' is no row of numbers"))
    }
}

fn ms(micros: i64) -> f64 {
    micros as f64 / 1_000.0
}

fn put(reply: &mut String, id: u64, action: &Action) {
    let _ = match action {
        Action::Send { request, member, timeout } => {
            writeln!(reply, "forward {id} {} {} {:.3}", request.0, member.0, ms(timeout.0))
        }
        Action::Refuse { request, retry_after } => {
            writeln!(reply, "turn_away {id} {} {:.3}", request.0, ms(retry_after.map_or(0, |after| after.0)))
        }
        Action::Fail { request } => writeln!(reply, "surrender {id} {}", request.0),
        Action::Cancel { request, attempt } => writeln!(reply, "cancel {id} {} {}", request.0, attempt.0),
        Action::Probe { member } => writeln!(reply, "health_check {id} {}", member.0),
        Action::Wake { at } => writeln!(reply, "remind {id} {:.3} wake", ms(at.0)),
        // The adapter takes no part in the talk: it turns `Settings::peers` off.
        Action::Tell { .. } => Ok(()),
        Action::Subscribe => writeln!(reply, "watch {id} 1"),
        Action::Log { line } => writeln!(reply, "trace {id} {line}"),
    };
}
