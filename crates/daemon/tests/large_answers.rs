//! Values that are being passed on while something ends: the process, its server's time in service, the settings with
//! which they were requested, or room for clients.

mod common;
use common::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};

/// The largest value that is passed on.
const SIZE: usize = 4 * 1024 * 1024;
/// The longest deadline, in milliseconds: a terminating process is to exit 0.65 s after the signal.
const SHORT_DEADLINE: &str = "200.0";
/// Begins the log lines of a terminating process at the end of its schedule: it stays for the answers in progress, or
/// exits.
const SCHEDULE_OVER: &str = "the process ";

/// A server that gives a large value for each request named `large`, with a pause within the value that the test
/// ends. It answers all others at once, with its id.
struct PausingServer {
    server: Server,
    resume: Sender<()>,
}

impl PausingServer {
    fn new(id: &'static str) -> Self {
        Self::with_size(id, SIZE)
    }

    /// One whose large values have this size.
    fn with_size(id: &'static str, size: usize) -> Self {
        let (resume, resumed) = channel();
        let resumed = Mutex::new(resumed);
        let server = Server::new(id, move |conn, statement| {
            if !statement.contains("id=large") {
                conn.send_row(id.as_bytes(), "replica", REPORTED_POSITION);
                return true;
            }
            let first_part = size / 16;
            conn.send_bytes(&[row_head(size), vec![b'v'; first_part]].concat());
            let _ = resumed.lock().unwrap().recv();
            // An error shows in what the client receives.
            let rest = [vec![b'v'; size - first_part], ROW_TAIL.to_vec()].concat();
            std::io::Write::write_all(&mut conn.stream, &rest).is_ok()
        });
        Self { server, resume }
    }
}

/// Asks for a large value and waits until its first bytes have arrived.
fn begin_large(client: &mut Client, id: &str) {
    client.send(&menu(id));
    let mut head = vec![0; row_head(SIZE).len() + 1];
    client.0.stream.read_exact(&mut head).unwrap();
    assert_eq!(head.last(), Some(&b'v'));
}

/// Reads the rest of a value that was begun; returns how many of its bytes arrived, and the messages behind it if it
/// is whole.
fn finish_large(client: &mut Client, size: usize) -> (usize, String) {
    let (mut received, mut bytes) = (1, vec![0; 64 * 1024]);
    while received < size {
        let unread = bytes.len().min(size - received);
        let count = client.0.stream.read(&mut bytes[..unread]).unwrap_or(0);
        if count == 0 {
            return (received, String::new());
        }
        assert!(bytes[..count].iter().all(|byte| *byte == b'v'));
        received += count;
    }
    (received, client.answer().tags)
}

fn assert_whole(client: &mut Client) {
    assert_eq!(finish_large(client, SIZE), (SIZE, "CZ".to_owned()));
}

/// Connects clients that stay, each with one request, until this one is evicted to make room, as the client that has been idle longest is.
fn evict(pooler: &Pooler, idle: &mut Client, statement: &str) {
    idle.0.stream.set_nonblocking(true).unwrap();
    let mut clients = Vec::new();
    while idle.0.stream.peek(&mut [0]).is_err() {
        let mut client = Client::connect_with(pooler, b"");
        if client.answer().tags.ends_with('Z') {
            assert!(client.execute(statement).value.is_some());
            clients.push(client);
        }
    }
    idle.0.stream.set_nonblocking(false).unwrap();
}

/// Waits until the process has exited with success; it must have broken no rule that it checks itself.
fn assert_exits(pooler: &mut Pooler) {
    assert!(pooler.child.wait().unwrap().success());
    let invariants = pooler.wait_for_log("invariants");
    assert!(invariants.contains("violations=0"), "{invariants}");
}

fn short_config(discovery: &Discovery, server: &Server) -> String {
    config(discovery, vec![server.entry("up", "replica")], 1_024).replace("9000.0", SHORT_DEADLINE)
}

/// Guards against values cut off by a planned restart: the process exited on schedule, whatever it was passing on.
#[test]
fn a_terminating_process_passes_on_values_to_their_end() {
    let pausing = PausingServer::new("s-1");
    let discovery = Discovery::new();
    let mut pooler = Pooler::with_config(&short_config(&discovery, &pausing.server));
    let (mut reader, mut idle) = (Client::connect(&pooler), Client::connect(&pooler));
    begin_large(&mut reader, "large");
    // A command behind the value: it is answered, but not begun any more.
    reader.send(&menu("behind"));
    pooler.signal("TERM");
    pooler.wait_for_log(SCHEDULE_OVER);
    assert!(idle.0.next_message().is_none(), "idle clients are closed on schedule");
    assert!(TcpStream::connect(pooler.address).is_err(), "and no new ones accepted");
    pausing.resume.send(()).unwrap();
    assert_whole(&mut reader);
    assert_eq!(reader.answer().code.as_deref(), Some("53300"));
    assert!(reader.0.next_message().is_none() && !reader.0.reset, "closed behind the last answer");
    assert_exits(&mut pooler);
    assert_eq!(ids_at(&pausing.server), ["large"]);
}

/// Guards against values cut off by a planned restart because their client, not their server, takes its time.
#[test]
fn a_terminating_process_passes_on_values_that_their_clients_read_late() {
    let pausing = PausingServer::new("s-1");
    let discovery = Discovery::new();
    let mut pooler = Pooler::with_config(&short_config(&discovery, &pausing.server));
    let mut reader = Client::connect(&pooler);
    begin_large(&mut reader, "large");
    // Most of the value does not fit into the buffers of a connection from which nothing is read.
    pausing.resume.send(()).unwrap();
    pooler.signal("TERM");
    pooler.wait_for_log(SCHEDULE_OVER);
    assert_whole(&mut reader);
    assert!(reader.0.next_message().is_none() && !reader.0.reset, "closed behind the answer");
    assert_exits(&mut pooler);
}

/// Guards against values cut off by the replacement of a process: the older one passes them on to their end.
#[test]
fn a_superseded_process_passes_on_values_to_their_end() {
    let pausing = PausingServer::new("s-1");
    let discovery = Discovery::new();
    let folder = std::env::temp_dir().join(format!("linnetdeal-large-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let launch = || {
        let mut config: serde_json::Value =
            serde_json::from_str(&short_config(&discovery, &pausing.server)).unwrap();
        config["operator"] = "127.0.0.1:0".into();
        Pooler::sharing_listener(&config.to_string(), &listener, &folder)
    };
    let mut older = launch();
    let mut reader = Client::connect(&older);
    begin_large(&mut reader, "large");
    let newer = launch();
    older.signal("TERM");
    older.wait_for_log("for a newer process");
    older.wait_for_log(SCHEDULE_OVER);
    let mut late = Client::connect(&newer);
    assert_eq!(late.execute(&menu("1")).value.as_deref(), Some(&b"s-1"[..]));
    pausing.resume.send(()).unwrap();
    assert_whole(&mut reader);
    assert!(reader.0.next_message().is_none() && !reader.0.reset, "closed behind the answer");
    assert_exits(&mut older);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against values cut off by what takes their server, their class or their client's slot away meanwhile.
#[test]
fn values_are_passed_on_through_drains_reloads_and_evictions() {
    let (pausing, other) = (PausingServer::new("s-1"), id_server("s-2", "replica"));
    let discovery = Discovery::new();
    // Of 48 descriptors 15 are for clients.
    let text = config(&discovery, vec![pausing.server.entry("up", "replica")], 48);
    let pooler = Pooler::with_config(&text);
    let (_, watch) = discovery.next_watch();
    let mut readers: Vec<Client> = (0..2).map(|_| Client::connect(&pooler)).collect();
    for (reader, id) in readers.iter_mut().zip(["large-1", "large-2"]) {
        begin_large(reader, id);
    }
    // The server drains and is removed, and another takes its place.
    watch.send(Some(server_list(42, false, vec![pausing.server.entry("draining", "replica")]))).unwrap();
    watch.send(Some(server_list(43, false, vec![pausing.server.entry("removed", "replica")]))).unwrap();
    watch.send(Some(server_list(44, false, vec![other.entry("up", "replica")]))).unwrap();
    let served_by_other = |client: &mut Client, statement: &str| {
        client.execute(statement).value.as_deref() == Some(&b"s-2"[..])
    };
    let mut regular = Client::connect(&pooler);
    wait_until(|| served_by_other(&mut regular, &menu("1")));
    // The class is replaced, with a shorter deadline and a shorter idle limit of connections to servers.
    pooler.write_config(
        &text.replace("bundle-menu", "menu-2").replace("9000.0", SHORT_DEADLINE).replace("60000.0", "90.0"),
    );
    pooler.signal("HUP");
    pooler.wait_for_log("configuration read again");
    assert!(served_by_other(&mut regular, &menu("2").replace("bundle-menu", "menu-2")));
    evict(&pooler, &mut regular, &menu("3").replace("bundle-menu", "menu-2"));
    readers.iter().for_each(|_| pausing.resume.send(()).unwrap());
    readers.iter_mut().for_each(assert_whole);
}

/// Guards against values cut off by a drain of the pooler by hand.
#[test]
fn values_are_passed_on_through_a_drain_of_the_pooler() {
    let pausing = PausingServer::new("s-1");
    let discovery = Discovery::new();
    let operator: SocketAddr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut config: serde_json::Value =
        serde_json::from_str(&short_config(&discovery, &pausing.server)).unwrap();
    config["operator"] = operator.to_string().into();
    let pooler = Pooler::with_config(&config.to_string());
    let (mut reader, mut idle) = (Client::connect(&pooler), Client::connect(&pooler));
    assert!(idle.execute(&menu("1")).value.is_some());
    begin_large(&mut reader, "large");
    assert_eq!(call(operator, "POST /-/drain"), "200");
    assert!(idle.0.next_message().is_none(), "idle clients are closed");
    pausing.resume.send(()).unwrap();
    assert_whole(&mut reader);
    assert!(reader.0.next_message().is_none() && !reader.0.reset, "closed behind the answer");
}

/// Guards against values whose last bytes are lost in the system's buffers: the connection was closed as idle while
/// they were on their way, and reset by the next command that the client sent ahead.
#[test]
fn a_value_that_was_written_is_received_whole_although_its_connection_is_closed() {
    for (size, ending) in
        [(100, "drain"), (1_024, "drain"), (100, "TERM"), (1_024, "TERM"), (100, "eviction")]
    {
        let size = size * 1024;
        let pausing = PausingServer::with_size("s-1", size);
        let discovery = Discovery::new();
        let operator: SocketAddr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let text = short_config(&discovery, &pausing.server);
        let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
        config["limits"]["sockets"] = 48.into();
        config["operator"] = operator.to_string().into();
        let pooler = Pooler::with_config(&config.to_string());
        let mut reader = Client::connect(&pooler);
        begin_large(&mut reader, "large");
        pausing.resume.send(()).unwrap();
        // Once the server has answered a further request on this connection, it has given the value.
        wait_until(|| Client::connect(&pooler).execute(&menu("1")).value.is_some());
        let mut idle = Client::connect(&pooler);
        assert!(idle.execute(&menu("2")).value.is_some());
        match ending {
            "drain" => assert_eq!(call(operator, "POST /-/drain"), "200"),
            "TERM" => pooler.signal("TERM"),
            _ => evict(&pooler, &mut idle, &menu("3")),
        }
        assert!(idle.0.next_message().is_none(), "idle clients are closed");
        // What was closed in the same turn is closed by the time that this is answered.
        if ending != "TERM" {
            pooler.counters();
        }
        reader.send(&menu("ahead"));
        assert_eq!(finish_large(&mut reader, size), (size, "CZ".to_owned()), "{ending}, {size} bytes");
    }
}
