//! The operators' HTTP/1.1 API on a second address, one call per connection. Each connection has a task and a
//! time limit of its own, so that idle connections block no other call. Connections beyond a maximum number are
//! closed at once.

use crate::flag::Flag;
use crate::hot_restart::{MAX_ID_BYTES, SharedState};
use crate::leases::Leases;
use crate::lifecycle::Lifecycle;
use crate::members::Feed;
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

/// Maximum duration of a connection, from accepting it to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 32;
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a submitted plan, in bytes.
const MAX_PLAN_BYTES: usize = 64 * 1024;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The operators' API with the components that its calls act on.
pub(crate) struct OperatorApi {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) lifecycle: Rc<Lifecycle>,
    pub(crate) feed: Feed,
    /// Stores the operator drains of servers, shared with processes that precede or succeed this one.
    pub(crate) shared: Option<Rc<SharedState>>,
    /// Raised once clients are accepted: discovery has answered, or the wait for it has timed out.
    pub(crate) open: Rc<Flag>,
    /// The leases, if they are configured.
    pub(crate) leases: Option<Rc<Leases>>,
    /// Maintenance work, if it is configured.
    pub(crate) work_service: Option<Rc<WorkService>>,
}

/// Opens the listening socket.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts and answers calls; never returns.
pub(crate) async fn run(api: Rc<OperatorApi>, listener: Async<TcpListener>) {
    let connections = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if connections.get() < MAX_CONNECTIONS => {
                connections.set(connections.get() + 1);
                let (api, connections) = (api.clone(), connections.clone());
                let executor = api.executor.clone();
                let task = async move {
                    answer(&api, stream).await;
                    connections.set(connections.get() - 1);
                };
                executor.spawn(task).detach();
            }
            Ok(_) => {}
            // No descriptors left, or the client has disconnected: retries after a pause.
            Err(_) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
        }
    }
}

/// Converts the outcome of a call to the status and body of its answer.
fn into_answer(outcome: Result<String, (u16, String)>) -> (StatusCode, String) {
    match outcome {
        Ok(message) => (StatusCode::OK, message),
        Err((status, message)) => (StatusCode::from_u16(status).unwrap_or(StatusCode::CONFLICT), message),
    }
}

/// Serves one connection.
async fn answer(api: &OperatorApi, stream: Async<TcpStream>) {
    let service = hyper::service::service_fn(|request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let (status, message) = match path.strip_prefix("/-/work") {
            Some(rest) => api.work(&head.method, rest, body).await,
            None => api.call(&head.method, path),
        };
        let mut answer = Response::new(Full::new(Bytes::from(format!("{message}\n"))));
        *answer.status_mut() = status;
        Ok::<_, Infallible>(answer)
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    let server = server.keep_alive(false).half_close(true).max_buf_size(MAX_HEAD_BYTES);
    let serving = async { drop(server.serve_connection(FuturesIo::new(stream), service).await) };
    let timeout = async {
        let _ = Timer::after(CALL_TIMEOUT).await;
    };
    or(serving, timeout).await;
}

impl OperatorApi {
    /// Executes a call and returns the status and body of its answer.
    fn call(&self, method: &Method, path: &str) -> (StatusCode, String) {
        let reply = |status, message: &str| (status, message.to_owned());
        let Some(rest) = path.strip_prefix("/-/") else {
            return reply(StatusCode::NOT_FOUND, "no such call");
        };
        let allowed_method = if matches!(rest, "ready" | "leases") { Method::GET } else { Method::POST };
        let parts: Vec<&str> = rest.split('/').collect();
        if !matches!(
            parts[..],
            ["ready" | "drain" | "resume" | "leases"]
                | ["servers", _, "disable" | "enable"]
                | ["leases", _, "release" | "acquire"]
                | ["leases", _, "hand", _]
        ) {
            return reply(StatusCode::NOT_FOUND, "no such call");
        }
        if *method != allowed_method {
            return (StatusCode::METHOD_NOT_ALLOWED, format!("this call is made by {allowed_method}"));
        }
        match parts[..] {
            ["ready"] if self.lifecycle.draining.is_up() => reply(StatusCode::SERVICE_UNAVAILABLE, "ending"),
            ["ready"] if self.lifecycle.drained.on_since().is_some() => {
                reply(StatusCode::SERVICE_UNAVAILABLE, "drained")
            }
            ["ready"]
                if self.work_service.as_ref().is_some_and(|work_service| !work_service.has_started()) =>
            {
                reply(StatusCode::SERVICE_UNAVAILABLE, "not known yet which machines are out for work")
            }
            ["ready"] if !self.open.is_up() || !self.feed.has_serving_member() => {
                reply(StatusCode::SERVICE_UNAVAILABLE, "no list of servers yet")
            }
            ["ready"] => reply(StatusCode::OK, "ready"),
            ["leases", ..] => self.leases(&parts[1..]),
            ["servers", id, action] => self.set_server_drain(id, action == "disable"),
            _ => {
                let start_drain = rest == "drain";
                self.lifecycle.drained_by_operator.set(start_drain);
                self.lifecycle.drained.set_on(start_drain);
                tracing::info!("{} by hand", if start_drain { "drained" } else { "resumed" });
                reply(StatusCode::OK, if start_drain { "draining" } else { "taking clients" })
            }
        }
    }

    /// Executes a call about leases.
    fn leases(&self, call: &[&str]) -> (StatusCode, String) {
        let reply = |status, message: &str| (status, message.to_owned());
        let Some(leases) = &self.leases else { return reply(StatusCode::NOT_FOUND, "leases are off here") };
        let (task_name, action, successor) = match *call {
            [task_name, action] => (task_name, action, None),
            [task_name, action, successor] => match successor.parse::<u16>() {
                Ok(successor) => (task_name, action, Some(successor)),
                Err(_) => return reply(StatusCode::BAD_REQUEST, "the heir is a pooler's number"),
            },
            _ => return (StatusCode::OK, leases.status_json()),
        };
        match leases.operator_command(task_name, action, successor) {
            Ok(message) => (StatusCode::OK, message),
            Err(message) => (StatusCode::CONFLICT, message),
        }
    }

    /// Executes a call about maintenance work.
    async fn work(&self, method: &Method, rest: &str, body: Incoming) -> (StatusCode, String) {
        let reply = |status, message: &str| (status, message.to_owned());
        let Some(work_service) = &self.work_service else {
            return reply(StatusCode::NOT_FOUND, "work is off here");
        };
        let parts: Vec<&str> = rest.split('/').skip(1).collect();
        let command = |action_name: &str| match action_name {
            "pause" => Some((Command::Pause, false)),
            "resume" => Some((Command::Resume, false)),
            "cancel" => Some((Command::Cancel, false)),
            "skip" => Some((Command::Skip, true)),
            "force" => Some((Command::Force, true)),
            "begin" => Some((Command::Begin, true)),
            "done" => Some((Command::Done, true)),
            _ => None,
        };
        let (command, machine) = match parts[..] {
            [] if *method == Method::GET => return (StatusCode::OK, work_service.status_json()),
            [] if *method == Method::POST => {
                let body = match Limited::new(body, MAX_PLAN_BYTES).collect().await {
                    Ok(body) => body.to_bytes(),
                    Err(error) => return reply(StatusCode::BAD_REQUEST, &format!("the plan: {error}")),
                };
                return into_answer(work_service.submit(&body).await);
            }
            [] => return reply(StatusCode::METHOD_NOT_ALLOWED, "this call is made by GET or POST"),
            [action] => (command(action).filter(|(_, per_machine)| !per_machine), None),
            [machine, action] => (command(action).filter(|(_, per_machine)| *per_machine), Some(machine)),
            _ => (None, None),
        };
        let Some((command, _)) = command else { return reply(StatusCode::NOT_FOUND, "no such call") };
        if *method != Method::POST {
            return reply(StatusCode::METHOD_NOT_ALLOWED, "this call is made by POST");
        }
        into_answer(work_service.operator_command(command, machine).await)
    }

    /// Starts or ends an operator's drain of a server.
    fn set_server_drain(&self, id: &str, disable: bool) -> (StatusCode, String) {
        let found =
            id.len() <= MAX_ID_BYTES && self.feed.set_operator_drain(&MemberId(Arc::from(id)), disable);
        if !found {
            return (StatusCode::NOT_FOUND, "no server of this id was ever listed".to_owned());
        }
        let drained_servers = self.feed.operator_drained();
        tracing::info!(
            "server {id} {} by hand, {} out",
            if disable { "out" } else { "back" },
            drained_servers.len()
        );
        if let Some(Err(error)) =
            self.shared.as_ref().map(|shared| shared.set_operator_drain(&MemberId(Arc::from(id)), disable))
        {
            tracing::warn!("operator drain not shared with other processes of this pooler: {error}");
        }
        (StatusCode::OK, if disable { "out" } else { "back" }.to_owned())
    }
}
