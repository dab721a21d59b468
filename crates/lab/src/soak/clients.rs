//! Clients of a soak: they ask, one by one or several at once, leave, stop in the middle, write slowly, or send what makes no sense;
//! what they see is told to the judge.

use super::audit::{How, LOST_AFTER, Rule};
use super::configuration::{Class, LONGEST_DEADLINE};
use super::faults::FaultKind;
use super::poolers::Pooler;
use super::world::World;
use crate::clients::now_ms;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use linnetdeal_net::pg::{self, write};
use std::io::{Error, ErrorKind};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A bad client is owed an error or a close within this, and a busy machine shows it so much later.
const BAD_CLIENT: Duration = Duration::from_millis(3_000 + 600);
/// Between two requests a client pauses for up to so many milliseconds.
const PAUSE_MS: u64 = 60;
/// Now and then it rests for longer, until servers and poolers may have closed what is idle.
const REST_MS: u64 = 900;
/// Requests on one connection, at the most.
const MOST_ON_ONE: u64 = 40;
/// Of a thousand requests so many are of each kind of client's trouble.
const OFTEN: u64 = 30;
const OFTEN_LATE: u64 = 200;

/// A client's session: what it was last told of its own writes.
struct Session {
    name: String,
    asked: u64,
    commit: i64,
    /// The pooler's start that told it.
    start: u64,
}

/// An answer.
struct Answer {
    how: How,
    value: Option<String>,
}

/// A request.
struct Ask {
    id: String,
    class: Class,
    statement: String,
    asked: Instant,
    deadline: Instant,
}

/// How a request ended without an answer.
enum Unanswered {
    /// The connection ended or broke.
    Ended,
    /// Nothing came in time.
    Nothing,
}

/// One client of a pooler, until nothing new is asked any more.
pub async fn run(world: Rc<World>, pooler: Rc<Pooler>, number: usize) {
    let name = format!("p{}c{number}", pooler.number());
    let mut session = Session { name, asked: 0, commit: 0, start: 0 };
    while !world.over.get() {
        if !pooler.takes_clients() {
            Timer::after(Duration::from_millis(5)).await;
            continue;
        }
        if world.chance(OFTEN) {
            misbehave(&world, &pooler).await;
        }
        if let Ok(mut wire) = Wire::open(&pooler).await {
            converse(&world, &pooler, &mut session, &mut wire).await;
        } else {
            Timer::after(Duration::from_millis(10)).await;
        }
    }
}

/// Requests on one connection, for as long as it lasts.
async fn converse(world: &World, pooler: &Pooler, session: &mut Session, wire: &mut Wire) {
    for _ in 0..world.below(MOST_ON_ONE) {
        let pause = if world.chance(OFTEN) { REST_MS } else { PAUSE_MS };
        Timer::after(Duration::from_millis(world.below(pause))).await;
        if world.over.get() {
            return;
        }
        let goes_on = if world.chance(OFTEN) {
            several(world, pooler, session, wire).await
        } else {
            one(world, pooler, session, wire).await
        };
        if !goes_on {
            return;
        }
    }
}

impl Session {
    fn ask(&mut self, world: &World, pooler: &Pooler, class: Class, wait: Duration) -> Ask {
        self.asked += 1;
        if self.start != pooler.starts() {
            (self.commit, self.start) = (0, pooler.starts());
        }
        let id = format!("{}-{}-t{}-m{}", self.name, self.asked, now_ms(), self.commit);
        let asked = Instant::now();
        let ask = Ask {
            statement: statement(class, &self.name, &id, wait),
            id,
            class,
            asked,
            deadline: asked + wait,
        };
        world.audit.borrow_mut().asked(&ask.id, class == Class::TopUp, ask.deadline);
        ask
    }

    fn hears(&mut self, pooler: &Pooler, ask: &Ask, answer: &Answer) {
        let position = answer.value.as_deref().and_then(|value| value.split_once(' ')?.1.parse().ok());
        if let Some(position) =
            position.filter(|_| ask.class == Class::TopUp && self.start == pooler.starts())
        {
            self.commit = position;
        }
    }
}

fn statement(class: Class, key: &str, id: &str, wait: Duration) -> String {
    let comment = format!("/* id={id},c={},d={},cluster=0 */", class.name(), wait.as_millis());
    if class == Class::TopUp {
        format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x01') RETURNING content {comment}")
    } else {
        format!("SELECT content FROM kv WHERE name = '{key}' {comment}")
    }
}

/// Asks once; false if the connection is over.
async fn one(world: &World, pooler: &Pooler, session: &mut Session, wire: &mut Wire) -> bool {
    let class = Class::drawn(world.below(100));
    let longest = if class == Class::TopUp { LONGEST_DEADLINE } else { Duration::from_millis(1_000) };
    let wait = if world.chance(50) { Duration::from_millis(20 + world.below(100)) } else { longest };
    let ask = session.ask(world, pooler, class, wait);
    // More of them while connections to servers come up late: their requests are on the way to a first byte then.
    let late = world.faults.borrow().holds(FaultKind::LateConnect);
    let leaves =
        world.chance(if late { OFTEN_LATE } else { OFTEN }).then(|| Duration::from_millis(world.below(150)));
    if wire.send(world, &ask.statement, world.chance(OFTEN)).await.is_err() {
        return again(world, pooler, session, ask).await;
    }
    let answer = async { Some(wire.answer(ask.deadline + LOST_AFTER).await) };
    let leaving = async {
        match leaves {
            Some(after) => drop(Timer::after(after).await),
            None => std::future::pending().await,
        }
        None
    };
    match or(answer, leaving).await {
        None => {
            world.faults.borrow_mut().injected(FaultKind::ClientLeaves);
            wire.close();
            world.audit.borrow_mut().left(&ask.id, Instant::now());
            false
        }
        Some(Ok(answer)) => {
            told(world, &ask.id, &answer);
            session.hears(pooler, &ask, &answer);
            true
        }
        Some(Err(Unanswered::Ended)) => again(world, pooler, session, ask).await,
        Some(Err(Unanswered::Nothing)) => {
            lost(world, pooler, &ask, "no answer");
            false
        }
    }
}

fn told(world: &World, id: &str, answer: &Answer) {
    let value = answer.value.as_deref().and_then(|value| value.split(' ').next());
    world.audit.borrow_mut().answered(id, answer.how, value, Instant::now());
}

fn lost(world: &World, pooler: &Pooler, ask: &Ask, why: &str) {
    if pooler.killed_since(ask.asked) {
        world.audit.borrow_mut().excused();
    } else {
        let detail =
            format!("{} at pooler {}: {why} after {:?}", ask.id, pooler.number(), ask.asked.elapsed());
        world.audit.borrow_mut().violated(Rule::Lost, &detail);
    }
}

/// The connection ended with the request open. That end may have crossed the request, which is asked once more on a new
/// connection; false in any case.
async fn again(world: &World, pooler: &Pooler, session: &mut Session, ask: Ask) -> bool {
    if pooler.killed_since(ask.asked) {
        world.audit.borrow_mut().excused();
        return false;
    }
    let wire = if pooler.takes_clients() { Wire::open(pooler).await.ok() } else { None };
    let Some(mut wire) = wire else {
        // Nobody is there to be asked any more.
        world.audit.borrow_mut().excused();
        return false;
    };
    let left = ask.deadline.saturating_duration_since(Instant::now());
    let statement = statement(ask.class, &session.name, &ask.id, left);
    let sent = wire.send(world, &statement, false).await;
    let answer = match sent {
        Ok(()) => wire.answer(ask.deadline + LOST_AFTER).await,
        Err(_) => Err(Unanswered::Ended),
    };
    match answer {
        Ok(answer) => {
            told(world, &ask.id, &answer);
            session.hears(pooler, &ask, &answer);
        }
        Err(_) => lost(world, pooler, &ask, "its second connection ended as well, or told nothing"),
    }
    false
}

/// Asks several things at once; false if the connection is over.
async fn several(world: &World, pooler: &Pooler, session: &mut Session, wire: &mut Wire) -> bool {
    world.faults.borrow_mut().injected(FaultKind::ClientPipelines);
    let classes = [Class::UsageHistory, Class::BundleMenu, Class::BalanceCheck];
    let wait = Duration::from_millis(1_000);
    let count = 2 + world.below(6) as usize;
    let asks: Vec<Ask> =
        (0..count).map(|_| session.ask(world, pooler, classes[world.below(3) as usize], wait)).collect();
    let mut out = Vec::new();
    asks.iter().for_each(|ask| write::query(&mut out, &ask.statement));
    let mut ended = wire.write(&out).await.is_err();
    for ask in asks {
        let answer =
            if ended { Err(Unanswered::Ended) } else { wire.answer(ask.deadline + LOST_AFTER).await };
        match answer {
            Ok(answer) => {
                told(world, &ask.id, &answer);
            }
            Err(Unanswered::Nothing) => {
                lost(world, pooler, &ask, "no answer");
                wire.close();
                ended = true;
            }
            // An end may cross what stands behind an answer, as it may cross what is sent after a rest.
            Err(Unanswered::Ended) => {
                ended = true;
                again(world, pooler, session, ask).await;
            }
        }
    }
    !ended
}

/// A connection that is no good: it has to get an error or its end in time.
async fn misbehave(world: &World, pooler: &Pooler) {
    let Ok(mut wire) = Wire::open(pooler).await else { return };
    let began = Instant::now();
    let (kind, bytes) = match world.below(4) {
        0 => {
            let mut half = Vec::new();
            write::query(&mut half, &statement(Class::UsageHistory, "k", "half", Duration::from_secs(1)));
            half.truncate(1 + world.below(half.len() as u64 - 1) as usize);
            (FaultKind::ClientStops, half)
        }
        1 => (FaultKind::ClientGarbage, (0..200).map(|_| world.below(256) as u8).collect()),
        2 => {
            let mut useless = Vec::new();
            (0..20).for_each(|_| write::query(&mut useless, "SELECT 1"));
            (FaultKind::ClientGarbage, useless)
        }
        _ => (FaultKind::ClientGarbage, vec![b'Q', 0xff, 0xff, 0xff, 0xff]),
    };
    world.faults.borrow_mut().injected(kind);
    if wire.write(&bytes).await.is_err() {
        return;
    }
    if wire.answer(began + BAD_CLIENT).await.is_err_and(|error| matches!(error, Unanswered::Nothing))
        && !pooler.killed_since(began)
    {
        let detail = format!("{kind:?} at pooler {} after {:?}", pooler.number(), began.elapsed());
        world.audit.borrow_mut().violated(Rule::BadClientKept, &detail);
    }
}

/// A client's connection.
struct Wire {
    stream: Option<Async<TcpStream>>,
    read: Vec<u8>,
}

impl Wire {
    /// Opens one and waits for the welcome.
    async fn open(pooler: &Pooler) -> std::io::Result<Self> {
        let mut wire = Self { stream: Some(pooler.connect().await?), read: Vec::new() };
        let mut out = Vec::new();
        write::startup(&mut out, "backend", "store");
        wire.write(&out).await?;
        match wire.answer(Instant::now() + Duration::from_secs(2)).await {
            Ok(_) => Ok(wire),
            Err(_) => Err(ErrorKind::ConnectionAborted.into()),
        }
    }

    fn close(&mut self) {
        self.stream = None;
    }

    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let mut stream = self.stream.as_ref().ok_or(Error::from(ErrorKind::NotConnected))?;
        stream.write_all(bytes).await
    }

    /// Sends a query, a few bytes at a time if it `dribbles`.
    async fn send(&mut self, world: &World, statement: &str, dribbles: bool) -> std::io::Result<()> {
        let mut out = Vec::new();
        write::query(&mut out, statement);
        if !dribbles {
            return self.write(&out).await;
        }
        world.faults.borrow_mut().injected(FaultKind::ClientDribbles);
        for piece in out.chunks(30) {
            self.write(piece).await?;
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// The next answer.
    async fn answer(&mut self, end: Instant) -> Result<Answer, Unanswered> {
        let late = async {
            Timer::at(end).await;
            Err(Unanswered::Nothing)
        };
        or(self.read_answer(), late).await
    }

    async fn read_answer(&mut self) -> Result<Answer, Unanswered> {
        let (mut how, mut value) = (How::Failed, None);
        let mut bytes = [0; 4 * 1024];
        loop {
            while let Some(message) = pg::server_message(&self.read).map_err(|_| Unanswered::Ended)? {
                let (tag, size) = (message.tag, message.size);
                match tag {
                    b'D' => {
                        let row = pg::row_value(message.body).ok().flatten();
                        value = row.and_then(|row| String::from_utf8(row.to_vec()).ok());
                    }
                    b'C' => how = How::Served,
                    b'E' => {
                        let code =
                            message.body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
                        let refused = matches!(code, Some(b"53300" | b"57P03"));
                        how = if refused { How::Refused } else { How::Failed };
                    }
                    _ => {}
                }
                let fatal = tag == b'E' && message.body.windows(6).any(|six| six == b"FATAL\0");
                self.read.drain(..size);
                if tag == b'Z' || fatal {
                    return Ok(Answer { how, value });
                }
            }
            let mut stream = self.stream.as_ref().ok_or(Unanswered::Ended)?;
            match stream.read(&mut bytes).await {
                Ok(count @ 1..) => self.read.extend_from_slice(&bytes[..count]),
                _ => return Err(Unanswered::Ended),
            }
        }
    }
}
