//! Invariants of sends, retries, closes and starts when two or three rare events coincide: each test forces one
//! such race that has been a fault.

mod common;

use common::{Client, Discovery, PgConnection, Pooler, Server, WAIT_TIMEOUT, id_server};
use linnetdeal_net::pg::write;
use serde_json::Value;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// The maximum by which the timeout sent to a server may exceed the client's remaining time.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Minimum time for which a suspended process stays suspended in these tests.
const STALL: Duration = Duration::from_millis(100);

/// The timeout of a statement in milliseconds.
fn timeout_ms(statement: &str) -> u64 {
    statement.split_once(",d=").unwrap().1.split_once(',').unwrap().0.parse().unwrap()
}

#[test]
fn the_timeout_sent_after_a_slow_dial_is_no_longer_than_what_the_client_has_left() {
    let (statement_sender, statements) = channel();
    let statement_sender = Mutex::new(statement_sender);
    // The dial takes long, so the timeout that the server is sent has to be computed after it.
    let slow = Server::with_accept_hook(
        "s-1",
        || std::thread::sleep(3 * DEADLINE_SLACK),
        move |conn, statement| {
            if statement.starts_with("INSERT") {
                statement_sender.lock().unwrap().send((Instant::now(), timeout_ms(statement))).unwrap();
            }
            conn.send_row(b"s-1", "master", common::REPORTED_POSITION);
            true
        },
    );
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![slow.entry("up", "master")]);
    let mut client = Client::connect(&pooler);
    let sent_at = Instant::now();
    assert_eq!(client.execute(&common::top_up("1")).value.as_deref(), Some(&b"s-1"[..]));
    let (received_at, timeout) = statements.recv_timeout(WAIT_TIMEOUT).unwrap();
    let remaining = Duration::from_millis(8_000).saturating_sub(received_at - sent_at);
    assert!(
        Duration::from_millis(timeout) <= remaining + DEADLINE_SLACK,
        "sent {timeout} ms with {remaining:?} left"
    );
}

/// Waits until the other side of the connections to a local port has at least this many unread bytes.
fn wait_for_unread(port: u16, bytes: u64) {
    let remote = format!(":{port:04X}");
    common::wait_until(|| {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let of_port = lines.filter(|fields| fields.get(2).is_some_and(|socket| socket.ends_with(&remote)));
        let unread = |fields: Vec<&str>| u64::from_str_radix(fields[4].split(':').nth(1)?, 16).ok();
        of_port.filter_map(unread).sum::<u64>() >= bytes
    });
}

/// Sends a list to a suspended process, waits until it is there unread and for [`STALL`] longer, and resumes
/// the process.
fn resume_after_list(pooler: &Pooler, discovery: &Discovery, watch: &Sender<Option<Value>>, update: Value) {
    let size = update.to_string().len() as u64;
    watch.send(Some(update)).unwrap();
    wait_for_unread(discovery.address.port(), size);
    std::thread::sleep(STALL);
    pooler.resume();
}

#[test]
fn a_drain_during_a_stall_takes_precedence_over_a_request_that_arrived_earlier() {
    let (draining, remaining) = (id_server("s-1", "replica"), id_server("s-2", "replica"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![draining.entry("up", "replica")]);
    let (_, watch) = discovery.next_watch();
    let mut client = Client::connect(&pooler);
    assert_eq!(client.execute(&common::menu("1")).value.as_deref(), Some(&b"s-1"[..]));
    pooler.suspend();
    client.send(&common::menu("2"));
    client.0.wait_acknowledged();
    let drain_list =
        common::server_list(42, false, vec![draining.entry("draining", ""), remaining.entry("up", "")]);
    resume_after_list(&pooler, &discovery, &watch, drain_list);
    assert_eq!(client.answer().value.as_deref(), Some(&b"s-2"[..]));
    assert_eq!(draining.received().len(), 1, "the drain had arrived when the process was resumed");
}

#[test]
fn load_reports_are_parsed_by_the_fields_of_the_current_settings() {
    // Both reject writes; the successor has become the primary by the time it is probed, and its reports name
    // the fields.
    let member = |id: &'static str, is_successor: bool| {
        let promoted = std::sync::atomic::AtomicBool::new(false);
        Server::new(id, move |conn, statement| {
            use std::sync::atomic::Ordering::Relaxed;
            if statement.starts_with("SHOW") {
                promoted.store(is_successor, Relaxed);
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
                let report = format!("x0={:.6},x1={}", now.as_secs_f64(), u8::from(is_successor));
                conn.send_row(report.as_bytes(), "", "");
            } else if promoted.load(Relaxed) {
                conn.send_row(b"done", "master", common::REPORTED_POSITION);
            } else {
                conn.send_error("25006", "replica");
            }
            true
        })
    };
    let (successor, other) = (member("s-2", true), member("s-1", false));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![other.entry("up", "master"), successor.entry("up", "replica")]);
    let text = common::config(&discovery, Vec::new(), 1_024);
    pooler.write_config(&text.replace("[\"x0\",\"x1\"]", "[\"x1\",\"x0\"]"));
    pooler.signal("HUP");
    pooler.wait_for_log("configuration read again");
    let mut client = Client::connect(&pooler);
    let write = common::top_up("1");
    assert_eq!(client.execute(&write).value.as_deref(), Some(&b"done"[..]), "a report showed the primary");
    assert_eq!(
        (other.received().len(), successor.received().len()),
        (1, 2),
        "each rejected it once, then the successor ran it"
    );
}

#[test]
fn connections_are_kept_no_longer_than_the_current_settings_allow() {
    let (port_sender, ports) = channel();
    let port_sender = Mutex::new(port_sender);
    let server = Server::new("s-1", move |conn, statement| {
        if statement.starts_with("SELECT") {
            port_sender.lock().unwrap().send(conn.stream.peer_addr().unwrap().port()).unwrap();
        }
        conn.send_row(b"s-1", "replica", common::REPORTED_POSITION);
        true
    });
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    client.execute(&common::menu("1"));
    // From now on servers close connections after 30 ms without use, and a connection may be reused for only a
    // part of that time.
    let text = common::config(&discovery, Vec::new(), 1_024);
    pooler.write_config(&text.replace("\"Keepalive\":60000.0", "\"Keepalive\":30.0"));
    pooler.signal("HUP");
    pooler.wait_for_log("configuration read again");
    std::thread::sleep(Duration::from_millis(30));
    client.execute(&common::menu("2"));
    let ports: Vec<u16> = ports.try_iter().collect();
    assert_eq!(ports.len(), 2);
    assert_ne!(ports[0], ports[1], "the kept connection had been idle for too long");
}

#[test]
fn a_statement_answered_with_57p03_may_have_run() {
    // This code proves that nothing ran only as the answer to a session's start.
    let member = |id: &'static str| {
        Server::new(id, move |conn, statement| {
            if statement.starts_with("SHOW") {
                conn.send_row(b"x0=1767225600.1,x1=1", "master", common::REPORTED_POSITION);
            } else {
                conn.send_error("57P03", "master");
            }
            true
        })
    };
    let (first, second) = (member("s-1"), member("s-2"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![first.entry("up", "master"), second.entry("up", "")]);
    let mut client = Client::connect(&pooler);
    let answer = client.execute(&common::top_up("1").replace("d=8000", "d=1000"));
    assert_eq!(answer.code.as_deref(), Some("08007"), "{answer:?}");
    assert_eq!(first.received().len() + second.received().len(), 1, "sent once");
}

#[test]
fn a_client_that_keeps_requesting_encryption_is_disconnected() {
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, Vec::new());
    let mut client = PgConnection::new(std::net::TcpStream::connect(pooler.address).unwrap());
    let began = Instant::now();
    let mut writer = client.stream.try_clone().unwrap();
    let flood = std::thread::spawn(move || {
        use std::io::Write;
        let ssl_requests = [0, 0, 0, 8, 4, 210, 22, 47].repeat(16);
        while began.elapsed() < Duration::from_secs(6) && writer.write_all(&ssl_requests).is_ok() {}
    });
    assert!(client.wait_closed());
    assert!(began.elapsed() < Duration::from_secs(3), "closed after {:?}", began.elapsed());
    flood.join().unwrap();
}

#[test]
fn a_request_behind_unsupported_commands_is_answered() {
    let server = id_server("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut out = Vec::new();
    (0..8).for_each(|_| write::query(&mut out, "SELECT 1"));
    write::query(&mut out, &common::menu("1"));
    let mut client = Client::connect_with(&pooler, &out);
    assert!(client.answer().tags.ends_with('Z'), "welcome");
    let answers: Vec<_> = (0..9).map(|_| client.answer()).collect();
    assert_eq!(answers[8].value.as_deref(), Some(&b"s-1"[..]), "{answers:?}");
    // A client that continues with them is disconnected all the same.
    client.send("SELECT 1");
    assert_eq!(client.answer().tags, "E");
    assert!(client.0.wait_closed());
}

#[test]
fn the_answer_to_a_pipelined_command_is_not_delayed() {
    let server = id_server("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    let mut gaps = Vec::new();
    for number in 0..21 {
        let mut out = Vec::new();
        write::query(&mut out, &common::menu(&format!("{number}a")));
        write::query(&mut out, &common::menu(&format!("{number}b")));
        client.0.send_bytes(&out);
        assert!(client.answer().value.is_some());
        let first = Instant::now();
        assert!(client.answer().value.is_some());
        gaps.push(first.elapsed());
    }
    gaps.sort();
    // An answer that Nagle's algorithm holds back is delayed by up to 40 ms, until the earlier one is
    // acknowledged, and is lost if the connection is reset meanwhile.
    assert!(gaps[10] < Duration::from_millis(20), "{gaps:?}");
}

/// A limit on file descriptors that leaves slots for [`CLIENT_SLOTS`] clients.
const FEW_SOCKETS: usize = 24;
/// Client connections that [`FEW_SOCKETS`] leaves room for.
const CLIENT_SLOTS: usize = 8;

#[test]
fn a_client_that_connects_when_slots_are_free_again_is_accepted() {
    let (release, server) = common::blocked_server("s-1");
    let other = id_server("s-2", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::with_sockets(&discovery, vec![server.entry("up", "replica")], FEW_SOCKETS);
    let (_, watch) = discovery.next_watch();
    let client_with_request = |number: usize| {
        let mut client = Client::connect(&pooler);
        client.send(&common::menu(&number.to_string()));
        client
    };
    let mut clients: Vec<Client> = (0..CLIENT_SLOTS).map(client_with_request).collect();
    pooler.wait_for_counter(&format!(" taken={CLIENT_SLOTS} "));
    // All slots are taken by clients with open requests, and the pooler waits for a free one. Then all clients
    // disconnect.
    watch.send(Some(common::server_list(42, false, vec![other.entry("up", "")]))).unwrap();
    drop(release);
    clients.iter_mut().for_each(|client| assert!(client.answer().tags.ends_with('Z')));
    drop(clients);
    common::wait_until(|| {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", pooler.child.id())).unwrap();
        let sockets = fds.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok());
        // Besides clients: six to the server, two for signals, the listener and the watch.
        sockets.filter(|to| to.to_string_lossy().starts_with("socket:")).count() < CLIENT_SLOTS + 8
    });
    let mut late = Client::connect_with(&pooler, b"");
    let answer = late.answer();
    assert!(answer.tags.ends_with('Z'), "{answer:?}");
    let mut another = Client::connect(&pooler);
    assert!(another.execute(&common::menu("9")).tags.ends_with('Z'));
}

#[test]
fn a_watch_is_reopened_within_the_drain_grace_of_the_current_settings() {
    let discovery = Discovery::new();
    let text = common::config(&discovery, Vec::new(), 1_024);
    let pooler = Pooler::with_config(&text.replace("\"DrainGrace\":250.0", "\"DrainGrace\":400000.0"));
    let (_, mut watch) = discovery.next_watch();
    pooler.write_config(&text);
    pooler.signal("HUP");
    pooler.wait_for_log("configuration read again");
    let began = Instant::now();
    // With the drain grace that the process was started with, each pause would be up to 100 s.
    for generation in 42..46 {
        watch.send(Some(common::server_list(generation, false, Vec::new()))).unwrap();
        watch.send(None).unwrap();
        watch = discovery.next_watch().1;
    }
    assert!(began.elapsed() < Duration::from_secs(5), "four watches took {:?}", began.elapsed());
}

#[test]
fn a_drain_during_a_stall_takes_precedence_over_a_connection_that_was_established_earlier() {
    let ((dial_sender, dialled), (permit, permitted)) = (channel(), channel::<()>());
    let ends = Mutex::new((dial_sender, permitted));
    let draining = Server::with_accept_hook(
        "s-1",
        move || {
            let (dial_sender, permitted) = &*ends.lock().unwrap();
            dial_sender.send(()).unwrap();
            let _ = permitted.recv();
        },
        |conn, _| {
            conn.send_row(b"s-1", "replica", common::REPORTED_POSITION);
            true
        },
    );
    let remaining = id_server("s-2", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![draining.entry("up", "replica")]);
    let (_, watch) = discovery.next_watch();
    let mut client = Client::connect(&pooler);
    client.send(&common::menu("1"));
    dialled.recv_timeout(WAIT_TIMEOUT).unwrap();
    pooler.suspend();
    // The connection is established first and the list arrives after it, some time later.
    permit.send(()).unwrap();
    wait_for_unread(draining.address.port(), 1);
    let drain_list =
        common::server_list(42, false, vec![draining.entry("draining", ""), remaining.entry("up", "")]);
    resume_after_list(&pooler, &discovery, &watch, drain_list);
    assert_eq!(client.answer().value.as_deref(), Some(&b"s-2"[..]));
    assert!(draining.received().is_empty(), "the drain had arrived when the process was resumed");
}
