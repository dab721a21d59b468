//! The adapter between the simulator's line protocol and the router, with one [`Router`] per instance. It only
//! translates; instances share nothing but the numbered lists of members, which the protocol itself shares.

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
    /// A line is malformed.
    #[error("line {line}: {message}")]
    Line {
        /// Its number, counted from 1.
        line: u64,
        /// What is wrong with it.
        message: String,
    },
    /// The input ended before the end of a batch.
    #[error("line {line}: the input ended inside a batch, before 'commit'")]
    Truncated {
        /// The number of the last line.
        line: u64,
    },
}

/// A running instance of the router.
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
/// If a line is malformed, the input ends inside a batch, or reading or writing fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut adapter = Adapter::default();
    let mut lines = 0_u64;
    for line in input.lines() {
        let line = line?;
        lines += 1;
        let reply = adapter.handle_line(&line).map_err(|message| WireError::Line { line: lines, message })?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    if adapter.batch.is_some() || adapter.pending_entries > 0 {
        return Err(WireError::Truncated { line: lines });
    }
    Ok(())
}

/// The state of the adapter between lines.
#[derive(Default)]
struct Adapter {
    instances: HashMap<u64, Instance>,
    lists: HashMap<u64, Vec<Entry>>,
    /// The time and the number of the current batch.
    batch: Option<(Time, u64)>,
    /// The list to which entries are being added.
    current_list: u64,
    /// How many entries of that list are still to come.
    pending_entries: usize,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one line; returns the reply when the line ends a batch.
    fn handle_line(&mut self, line: &str) -> Parsed<Option<String>> {
        let mut parts = Parts::new(line);
        let kind = parts.text("message")?;
        if self.pending_entries > 0 && kind != "m" {
            return Err(format!("'{kind}' where a list entry 'm' is expected"));
        }
        let Some((now, number)) = self.batch else {
            if kind.is_empty() {
                return Ok(None);
            }
            if kind != "frame" {
                return Err(format!("'{kind}' outside a batch"));
            }
            self.batch = Some((parts.time("clock")?, parts.integer("batch number")?));
            return Ok(None);
        };
        match kind {
            "commit" => {
                self.batch = None;
                let _ = writeln!(self.reply, "ack {number}");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "census" => {
                self.current_list = parts.integer("Buffer")?;
                self.pending_entries = parts.integer("NodesList")? as usize;
                self.lists.insert(self.current_list, Vec::new());
            }
            "m" if self.pending_entries > 0 => {
                let entry = parse_entry(&mut parts)?;
                self.lists.entry(self.current_list).or_default().push(entry);
                self.pending_entries -= 1;
            }
            "start" => {
                let id = parts.integer("ProxyId")?;
                let seed = parts.integer("InitSeed")?;
                let settings = Settings { peers: false, ..Pairs::from_parts(parts.0).settings()? };
                let index_by_name = |names: Vec<&str>| {
                    names.into_iter().enumerate().map(|(index, name)| (name.to_owned(), index)).collect()
                };
                let instance = Instance {
                    router: Router::new(seed, settings.clone()),
                    classes: index_by_name(settings.classes.iter().map(|c| c.name.as_str()).collect()),
                    tenants: index_by_name(settings.tenants.iter().map(|t| t.name.as_str()).collect()),
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
                if let Some(event) = parse_event(kind, &mut parts, instance, &self.lists)? {
                    instance.router.handle(now, event, &mut self.actions);
                    for action in self.actions.drain(..) {
                        write_action(&mut self.reply, id, &action);
                    }
                }
            }
        }
        Ok(None)
    }
}

/// Decodes an event line of a running instance; `None` for a peer's message, which is ignored.
fn parse_event(
    kind: &str,
    parts: &mut Parts<'_>,
    instance: &Instance,
    lists: &HashMap<u64, Vec<Entry>>,
) -> Parsed<Option<Event>> {
    Ok(Some(match kind {
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
            let attributes: u64 = parts.optional("Attrs")?.unwrap_or(0);
            Event::Request(Request {
                id,
                class: ClassId(class),
                tenant: instance.tenants.get(tenant).map(|index| TenantId(*index)),
                session: session.map(SessionKey),
                left,
                group,
                last_write: last_write.filter(|ms| *ms > 0.0).map(span_from_ms),
                cost: cost.filter(|_| attributes & 1 != 0).map(span_from_ms),
                retry: attributes & 2 != 0,
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
            let verdict = parse_verdict(parts.text("Verdict")?)?;
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
            verdict: parse_verdict(parts.text("Verdict")?)?,
            took: parts.span("TimeTaken")?,
            report: parts.report()?,
        },
        "memo" => return Ok(None),
        other => return Err(format!("unknown message '{other}'")),
    }))
}

/// Decodes the outcome of an attempt or a probe.
fn parse_verdict(kind: &str) -> Parsed<Verdict> {
    Ok(match kind {
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

/// Decodes an entry of a list of members.
fn parse_entry(parts: &mut Parts<'_>) -> Parsed<Entry> {
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

/// Reads the space-separated parts of a line in order. `what` is the name of the part, for error messages.
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
        values.map(Some).map_err(|_| format!("Stats: '{text}' is not a list of numbers"))
    }
}

fn millis(micros: i64) -> f64 {
    micros as f64 / 1_000.0
}

/// Appends the reply line for an action.
fn write_action(reply: &mut String, id: u64, action: &Action) {
    let _ = match action {
        Action::Send { request, member, timeout } => {
            writeln!(reply, "forward {id} {} {} {:.3}", request.0, member.0, millis(timeout.0))
        }
        Action::Refuse { request, retry_after } => {
            writeln!(
                reply,
                "turn_away {id} {} {:.3}",
                request.0,
                millis(retry_after.map_or(0, |after| after.0))
            )
        }
        Action::Fail { request } => writeln!(reply, "surrender {id} {}", request.0),
        Action::Cancel { request, attempt } => writeln!(reply, "cancel {id} {} {}", request.0, attempt.0),
        Action::Probe { member } => writeln!(reply, "health_check {id} {}", member.0),
        Action::Wake { at } => writeln!(reply, "remind {id} {:.3} wake", millis(at.0)),
        // Never occurs, because the adapter turns `Settings::peers` off.
        Action::Tell { .. } => Ok(()),
        Action::Subscribe => writeln!(reply, "watch {id} 1"),
        Action::Log { line } => writeln!(reply, "trace {id} {line}"),
    };
}
