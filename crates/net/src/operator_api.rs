//! The second address: calls of the people on call, over HTTP/1.1, one a connection. However many hold a connection open
//! without a call, each has a task and a limit of its own, and beyond a bound nobody is let in.

use crate::flag::Flag;
use crate::leases::Leases;
use crate::lifecycle::Lifecycle;
use crate::members::Feed;
use crate::succession::{MAX_ID_BYTES, SharedState};
use crate::work::WorkService;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use linnetdeal_coordination::work::Command;
use linnetdeal_core::MemberId;
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A caller has so long for its call and its answer.
const CALL: Duration = Duration::from_secs(2);
/// So many callers at once.
const MOST_CALLERS: usize = 32;
/// No head of a call is longer, in bytes.
const LONGEST_CALL: usize = 16 * 1024;
/// No plan is longer, in bytes.
const LONGEST_PLAN: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(20);

/// What calls act on.
pub(crate) struct Desk {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) lifecycle: Rc<Lifecycle>,
    pub(crate) feed: Feed,
    /// Where it stands who is out by hand, for the process that takes this one's place, and from it.
    pub(crate) shared: Option<Rc<SharedState>>,
    /// The list was heard of, or enough time has passed: clients are taken.
    pub(crate) open: Rc<Flag>,
    /// The tasks of the whole fleet, where there are any.
    pub(crate) leases: Option<Rc<Leases>>,
    /// Machines out for work, where the poolers see to it.
    pub(crate) works: Option<Rc<WorkService>>,
}

/// Opens the address.
///
/// # Errors
///
/// When it can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Answers calls for ever.
pub(crate) async fn run(desk: Rc<Desk>, listener: Async<TcpListener>) {
    let callers = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if callers.get() < MOST_CALLERS => {
                callers.set(callers.get() + 1);
                let (desk, callers) = (desk.clone(), callers.clone());
                let executor = desk.executor.clone();
                let task = async move {
                    answer(&desk, stream).await;
                    callers.set(callers.get() - 1);
                };
                executor.spawn(task).detach();
            }
            Ok(_) => {}
            // Out of descriptors, or the caller left: neither spin nor end.
            Err(_) => drop(Timer::after(PAUSE).await),
        }
    }
}

fn said(outcome: Result<String, (u16, String)>) -> (StatusCode, String) {
    match outcome {
        Ok(words) => (StatusCode::OK, words),
        Err((status, words)) => (StatusCode::from_u16(status).unwrap_or(StatusCode::CONFLICT), words),
    }
}

async fn answer(desk: &Desk, stream: Async<TcpStream>) {
    let service = hyper::service::service_fn(|call: Request<Incoming>| async move {
        let (head, body) = call.into_parts();
        let path = head.uri.path();
        let (status, words) = match path.strip_prefix("/-/work") {
            Some(rest) => desk.work(&head.method, rest, body).await,
            None => desk.call(&head.method, path),
        };
        let mut answer = Response::new(Full::new(Bytes::from(format!("{words}\n"))));
        *answer.status_mut() = status;
        Ok::<_, Infallible>(answer)
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    let server = server.keep_alive(false).half_close(true).max_buf_size(LONGEST_CALL);
    let served = async { drop(server.serve_connection(FuturesIo::new(stream), service).await) };
    let late = async {
        let _ = Timer::after(CALL).await;
    };
    or(served, late).await;
}

impl Desk {
    /// What a call does and is told.
    fn call(&self, method: &Method, path: &str) -> (StatusCode, String) {
        let no = |status, words: &str| (status, words.to_owned());
        let Some(rest) = path.strip_prefix("/-/") else { return no(StatusCode::NOT_FOUND, "no such call") };
        let wanted = if matches!(rest, "ready" | "leases") { Method::GET } else { Method::POST };
        let parts: Vec<&str> = rest.split('/').collect();
        if !matches!(
            parts[..],
            ["ready" | "drain" | "resume" | "leases"]
                | ["servers", _, "disable" | "enable"]
                | ["leases", _, "release" | "acquire"]
                | ["leases", _, "hand", _]
        ) {
            return no(StatusCode::NOT_FOUND, "no such call");
        }
        if *method != wanted {
            return (StatusCode::METHOD_NOT_ALLOWED, format!("this call is made by {wanted}"));
        }
        match parts[..] {
            ["ready"] if self.lifecycle.draining.is_up() => no(StatusCode::SERVICE_UNAVAILABLE, "ending"),
            ["ready"] if self.lifecycle.drained.on_since().is_some() => {
                no(StatusCode::SERVICE_UNAVAILABLE, "drained")
            }
            ["ready"] if self.works.as_ref().is_some_and(|works| !works.has_started()) => {
                no(StatusCode::SERVICE_UNAVAILABLE, "not known yet which machines are out for work")
            }
            ["ready"] if !self.open.is_up() || !self.feed.serves() => {
                no(StatusCode::SERVICE_UNAVAILABLE, "no list of servers yet")
            }
            ["ready"] => no(StatusCode::OK, "ready"),
            ["leases", ..] => self.leases(&parts[1..]),
            ["servers", id, what] => self.server(id, what == "disable"),
            _ => {
                let on = rest == "drain";
                self.lifecycle.drained_by_operator.set(on);
                self.lifecycle.drained.set_on(on);
                tracing::info!("{} by hand", if on { "drained" } else { "resumed" });
                no(StatusCode::OK, if on { "draining" } else { "taking clients" })
            }
        }
    }

    fn leases(&self, call: &[&str]) -> (StatusCode, String) {
        let no = |status, words: &str| (status, words.to_owned());
        let Some(leases) = &self.leases else { return no(StatusCode::NOT_FOUND, "leases are off here") };
        let (task, what, heir) = match *call {
            [task, what] => (task, what, None),
            [task, what, heir] => match heir.parse::<u16>() {
                Ok(heir) => (task, what, Some(heir)),
                Err(_) => return no(StatusCode::BAD_REQUEST, "the heir is a pooler's number"),
            },
            _ => return (StatusCode::OK, leases.status_json()),
        };
        match leases.operator_command(task, what, heir) {
            Ok(words) => (StatusCode::OK, words),
            Err(words) => (StatusCode::CONFLICT, words),
        }
    }

    /// Calls about machines out for work.
    async fn work(&self, method: &Method, rest: &str, body: Incoming) -> (StatusCode, String) {
        let no = |status, words: &str| (status, words.to_owned());
        let Some(works) = &self.works else { return no(StatusCode::NOT_FOUND, "work is off here") };
        let parts: Vec<&str> = rest.split('/').skip(1).collect();
        let verb = |word: &str| match word {
            "pause" => Some((Command::Pause, false)),
            "resume" => Some((Command::Resume, false)),
            "cancel" => Some((Command::Cancel, false)),
            "skip" => Some((Command::Skip, true)),
            "force" => Some((Command::Force, true)),
            "begin" => Some((Command::Begin, true)),
            "done" => Some((Command::Done, true)),
            _ => None,
        };
        let (verb, machine) = match parts[..] {
            [] if *method == Method::GET => return (StatusCode::OK, works.status_json()),
            [] if *method == Method::POST => {
                let body = match Limited::new(body, LONGEST_PLAN).collect().await {
                    Ok(body) => body.to_bytes(),
                    Err(error) => return no(StatusCode::BAD_REQUEST, &format!("the plan: {error}")),
                };
                return said(works.submit(&body).await);
            }
            [] => return no(StatusCode::METHOD_NOT_ALLOWED, "this call is made by GET or POST"),
            [what] => (verb(what).filter(|(_, one)| !one), None),
            [machine, what] => (verb(what).filter(|(_, one)| *one), Some(machine)),
            _ => (None, None),
        };
        let Some((verb, _)) = verb else { return no(StatusCode::NOT_FOUND, "no such call") };
        if *method != Method::POST {
            return no(StatusCode::METHOD_NOT_ALLOWED, "this call is made by POST");
        }
        said(works.operator_command(verb, machine).await)
    }

    fn server(&self, id: &str, out: bool) -> (StatusCode, String) {
        let known = id.len() <= MAX_ID_BYTES && self.feed.by_hand(&MemberId(Arc::from(id)), out);
        if !known {
            return (StatusCode::NOT_FOUND, "no server of this id was ever listed".to_owned());
        }
        let banned = self.feed.banned();
        tracing::info!("server {id} {} by hand, {} out", if out { "out" } else { "back" }, banned.len());
        if let Some(Err(error)) =
            self.shared.as_ref().map(|shared| shared.set_operator_drain(&MemberId(Arc::from(id)), out))
        {
            tracing::warn!("other processes of this pooler don't learn of it: {error}");
        }
        (StatusCode::OK, if out { "out" } else { "back" }.to_owned())
    }
}
