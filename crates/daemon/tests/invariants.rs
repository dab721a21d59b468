//! What must hold of every send, repeat, close and start, where two or three rare events meet: each test forces one crossing
//! that a hunt for unlisted faults has found.

mod common;

use common::{Client, Discovery, PgConnection, Pooler, STEP_TIMEOUT, Server, id_server};
use linnetdeal_net::pg::write;
use serde_json::Value;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// What a client still has may be overstated to a server by so much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// A process that stands still does so for longer than this in these tests.
const STANDSTILL: Duration = Duration::from_millis(100);

/// The wait, in milliseconds, that a statement tells.
fn told_wait(statement: &str) -> u64 {
    statement.split_once(",d=").unwrap().1.split_once(',').unwrap().0.parse().unwrap()
}

#[test]
fn a_server_is_told_no_more_time_than_the_client_has_left_after_a_slow_dial() {
    let (tell, told) = channel();
    let tell = Mutex::new(tell);
    // A connection that comes up late: the wait is told behind the dial, so it has to be reckoned behind it.
    let slow = Server::with_accept_hook(
        "s-1",
        || std::thread::sleep(3 * DEADLINE_SLACK),
        move |conn, statement| {
            if statement.starts_with("INSERT") {
                tell.lock().unwrap().send((Instant::now(), told_wait(statement))).unwrap();
            }
            conn.send_row(b"s-1", "master", common::REPORTED_POSITION);
            true
        },
    );
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![slow.entry("up", "master")]);
    let mut client = Client::connect(&pooler);
    let asked = Instant::now();
    assert_eq!(client.execute(&common::top_up("1")).value.as_deref(), Some(&b"s-1"[..]));
    let (at, wait) = told.recv_timeout(STEP_TIMEOUT).unwrap();
    let left = Duration::from_millis(8_000).saturating_sub(at - asked);
    assert!(Duration::from_millis(wait) <= left + DEADLINE_SLACK, "told {wait} ms with {left:?} left");
}

/// Waits until this many bytes wait unread at the other side of connections to a port of this machine.
fn wait_for_unread(port: u16, bytes: u64) {
    let remote = format!(":{port:04X}");
    common::wait_until(|| {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let of_port = lines.filter(|fields| fields.get(2).is_some_and(|at| at.ends_with(&remote)));
        let unread = |fields: Vec<&str>| u64::from_str_radix(fields[4].split(':').nth(1)?, 16).ok();
        of_port.filter_map(unread).sum::<u64>() >= bytes
    });
}

/// Has a frozen process stand still until discovery's word is there unread, and a while longer; then it goes on.
fn stand_still_until_told(
    pooler: &Pooler,
    discovery: &Discovery,
    watch: &Sender<Option<Value>>,
    word: Value,
) {
    let size = word.to_string().len() as u64;
    watch.send(Some(word)).unwrap();
    wait_for_unread(discovery.address.port(), size);
    std::thread::sleep(STANDSTILL);
    pooler.resume();
}

#[test]
fn a_drain_that_came_while_the_process_stood_still_goes_before_the_request_that_came_first() {
    let (leaves, stays) = (id_server("s-1", "replica"), id_server("s-2", "replica"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![leaves.entry("up", "replica")]);
    let (_, watch) = discovery.next_watch();
    let mut client = Client::connect(&pooler);
    assert_eq!(client.execute(&common::menu("1")).value.as_deref(), Some(&b"s-1"[..]));
    pooler.suspend();
    client.send(&common::menu("2"));
    client.0.wait_acknowledged();
    let word = common::server_list(42, false, vec![leaves.entry("draining", ""), stays.entry("up", "")]);
    stand_still_until_told(&pooler, &discovery, &watch, word);
    assert_eq!(client.answer().value.as_deref(), Some(&b"s-2"[..]));
    assert_eq!(leaves.received().len(), 1, "the drain was there when the process went on");
}

#[test]
fn load_reports_are_read_by_the_fields_of_the_present_settings() {
    // Both turn writes away; one has become the primary by the time it is probed, and its reports name the fields.
    let member = |id: &'static str, heir: bool| {
        let promoted = std::sync::atomic::AtomicBool::new(false);
        Server::new(id, move |conn, statement| {
            use std::sync::atomic::Ordering::Relaxed;
            if statement.starts_with("SHOW") {
                promoted.store(heir, Relaxed);
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
                let report = format!("x0={:.6},x1={}", now.as_secs_f64(), u8::from(heir));
                conn.send_row(report.as_bytes(), "", "");
            } else if promoted.load(Relaxed) {
                conn.send_row(b"done", "master", common::REPORTED_POSITION);
            } else {
                conn.send_error("25006", "replica");
            }
            true
        })
    };
    let (heir, other) = (member("s-2", true), member("s-1", false));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![other.entry("up", "master"), heir.entry("up", "replica")]);
    let text = common::config(&discovery, Vec::new(), 1_024);
    pooler.write_config(&text.replace("[\"x0\",\"x1\"]", "[\"x1\",\"x0\"]"));
    pooler.signal("HUP");
    pooler.wait_log("configuration read again");
    let mut client = Client::connect(&pooler);
    let write = common::top_up("1");
    assert_eq!(client.execute(&write).value.as_deref(), Some(&b"done"[..]), "a report showed the primary");
    assert_eq!(
        (other.received().len(), heir.received().len()),
        (1, 2),
        "a walk round the group, then straight there"
    );
}

#[test]
fn connections_are_kept_no_longer_than_the_present_settings_say() {
    let (tell, ports) = channel();
    let tell = Mutex::new(tell);
    let server = Server::new("s-1", move |conn, statement| {
        if statement.starts_with("SELECT") {
            tell.lock().unwrap().send(conn.stream.peer_addr().unwrap().port()).unwrap();
        }
        conn.send_row(b"s-1", "replica", common::REPORTED_POSITION);
        true
    });
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    client.execute(&common::menu("1"));
    // Servers close what is idle for 30 ms from now on: a connection may be used for a part of that.
    let text = common::config(&discovery, Vec::new(), 1_024);
    pooler.write_config(&text.replace("\"Keepalive\":60000.0", "\"Keepalive\":30.0"));
    pooler.signal("HUP");
    pooler.wait_log("configuration read again");
    std::thread::sleep(Duration::from_millis(30));
    client.execute(&common::menu("2"));
    let ports: Vec<u16> = ports.try_iter().collect();
    assert_eq!(ports.len(), 2);
    assert_ne!(ports[0], ports[1], "the kept connection was older than servers keep one");
}

#[test]
fn a_statement_answered_with_57p03_may_have_run() {
    // Only as the answer to a session's start does that code prove that nothing ran.
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
fn a_client_that_asks_for_encryption_without_end_is_closed() {
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, Vec::new());
    let mut client = PgConnection::new(std::net::TcpStream::connect(pooler.address).unwrap());
    let began = Instant::now();
    let mut writer = client.stream.try_clone().unwrap();
    let floods = std::thread::spawn(move || {
        use std::io::Write;
        let wish = [0, 0, 0, 8, 4, 210, 22, 47].repeat(16);
        while began.elapsed() < Duration::from_secs(6) && writer.write_all(&wish).is_ok() {}
    });
    assert!(client.wait_closed());
    assert!(began.elapsed() < Duration::from_secs(3), "closed after {:?}", began.elapsed());
    floods.join().unwrap();
}

#[test]
fn a_request_behind_commands_that_make_no_sense_is_answered() {
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
    // Whoever goes on with them is still told to go.
    client.send("SELECT 1");
    assert_eq!(client.answer().tags, "E");
    assert!(client.0.wait_closed());
}

#[test]
fn the_answer_to_a_command_sent_ahead_is_not_held_back() {
    let server = id_server("s-1", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![server.entry("up", "replica")]);
    let mut client = Client::connect(&pooler);
    let mut gaps = Vec::new();
    for pair in 0..21 {
        let mut out = Vec::new();
        write::query(&mut out, &common::menu(&format!("{pair}a")));
        write::query(&mut out, &common::menu(&format!("{pair}b")));
        client.0.send_bytes(&out);
        assert!(client.answer().value.is_some());
        let first = Instant::now();
        assert!(client.answer().value.is_some());
        gaps.push(first.elapsed());
    }
    gaps.sort();
    // The system waits 40 ms for what it holds back to be acknowledged; it goes if the connection is reset meanwhile.
    assert!(gaps[10] < Duration::from_millis(20), "{gaps:?}");
}

/// A configuration with so few descriptors has seats for eight clients.
const FEW: usize = 24;
const SEATS: usize = 8;

#[test]
fn who_connects_once_there_is_room_again_is_not_turned_away() {
    let (open, server) = common::blocked_server("s-1");
    let other = id_server("s-2", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::with_sockets(&discovery, vec![server.entry("up", "replica")], FEW);
    let (_, watch) = discovery.next_watch();
    let ask = |at: usize| {
        let mut client = Client::connect(&pooler);
        client.send(&common::menu(&at.to_string()));
        client
    };
    let mut clients: Vec<Client> = (0..SEATS).map(ask).collect();
    pooler.wait_counter(&format!(" taken={SEATS} "));
    // All seats are taken by open requests, and the next client is waited for. Then all of them leave.
    watch.send(Some(common::server_list(42, false, vec![other.entry("up", "")]))).unwrap();
    drop(open);
    clients.iter_mut().for_each(|client| assert!(client.answer().tags.ends_with('Z')));
    drop(clients);
    common::wait_until(|| {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", pooler.child.id())).unwrap();
        let sockets = fds.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok());
        // Six to the server, two for signals, the listening one and the watch.
        sockets.filter(|to| to.to_string_lossy().starts_with("socket:")).count() < SEATS + 8
    });
    let mut late = Client::connect_with(&pooler, b"");
    let answer = late.answer();
    assert!(answer.tags.ends_with('Z'), "{answer:?}");
    let mut again = Client::connect(&pooler);
    assert!(again.execute(&common::menu("9")).tags.ends_with('Z'));
}

#[test]
fn a_watch_is_opened_anew_within_the_grace_of_the_present_settings() {
    let discovery = Discovery::new();
    let text = common::config(&discovery, Vec::new(), 1_024);
    let pooler = Pooler::with_config(&text.replace("\"DrainGrace\":250.0", "\"DrainGrace\":400000.0"));
    let (_, mut watch) = discovery.next_watch();
    pooler.write_config(&text);
    pooler.signal("HUP");
    pooler.wait_log("configuration read again");
    let began = Instant::now();
    // By the grace of the start each pause would be of up to 100 s.
    for generation in 42..46 {
        watch.send(Some(common::server_list(generation, false, Vec::new()))).unwrap();
        watch.send(None).unwrap();
        watch = discovery.next_watch().1;
    }
    assert!(began.elapsed() < Duration::from_secs(5), "four watches took {:?}", began.elapsed());
}

#[test]
fn a_drain_that_came_while_the_process_stood_still_goes_before_a_connection_that_came_up_first() {
    let ((tell, dialled), (go, told)) = (channel(), channel::<()>());
    let ends = Mutex::new((tell, told));
    let leaves = Server::with_accept_hook(
        "s-1",
        move || {
            let (tell, told) = &*ends.lock().unwrap();
            tell.send(()).unwrap();
            let _ = told.recv();
        },
        |conn, _| {
            conn.send_row(b"s-1", "replica", common::REPORTED_POSITION);
            true
        },
    );
    let stays = id_server("s-2", "replica");
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![leaves.entry("up", "replica")]);
    let (_, watch) = discovery.next_watch();
    let mut client = Client::connect(&pooler);
    client.send(&common::menu("1"));
    dialled.recv_timeout(STEP_TIMEOUT).unwrap();
    pooler.suspend();
    // The connection comes up first, and the word behind it; and that takes a while.
    go.send(()).unwrap();
    wait_for_unread(leaves.address.port(), 1);
    let word = common::server_list(42, false, vec![leaves.entry("draining", ""), stays.entry("up", "")]);
    stand_still_until_told(&pooler, &discovery, &watch, word);
    assert_eq!(client.answer().value.as_deref(), Some(&b"s-2"[..]));
    assert!(leaves.received().is_empty(), "the drain was there when the process went on");
}
