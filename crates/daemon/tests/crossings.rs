//! Rare moments, each forced by an order of events that the scripted peers hold: docs/design/crossings.md lists them.

mod peers;
use peers::*;
use serde_json::Value;
use std::time::{Duration, Instant};

const NOW_MS: &str = "1767225600123";

/// A server that answers everything with its own name.
fn plain(id: &'static str, part: &'static str) -> Server {
    Server::new(id, move |wire, statement| {
        if statement.starts_with("SHOW") {
            let role = u8::from(part == "master");
            wire.row(format!("x0=1767225600.1,x1={role}").as_bytes(), part, NOW_MS);
        } else {
            wire.row(id.as_bytes(), part, NOW_MS);
        }
        true
    })
}

/// Asks until the answer comes from this server.
fn served_by(client: &mut Client, id: &str) {
    let end = Instant::now() + PATIENCE;
    while client.ask(&menu("wait")).value.as_deref() != Some(id.as_bytes()) {
        assert!(Instant::now() < end, "never served by {id}");
    }
}

/// From now on nothing reaches this server.
fn nothing_more(client: &mut Client, server: &Server) {
    let before = server.got().len();
    for _ in 0..20 {
        client.ask(&menu("more"));
    }
    assert_eq!(server.got().len(), before, "sent to {} after it was announced", server.id);
}

// ---- A server leaves

#[test]
fn a_list_may_come_indented_over_several_lines_and_in_pieces() {
    let (leaves, stays) = (plain("s-1", "replica"), plain("s-2", "replica"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![leaves.entry("up", "replica")]);
    let (_, watch) = discovery.watch();
    let mut client = Client::connect(&pooler);
    assert_eq!(client.ask(&menu("1")).value.as_deref(), Some(&b"s-1"[..]));
    let text = serde_json::to_string_pretty(&list(
        42,
        false,
        vec![leaves.entry("draining", ""), stays.entry("up", "")],
    ))
    .unwrap();
    assert!(text.lines().count() > 20);
    // An empty line that tells that the watch lives, then the list line by line, then one object right behind another.
    watch.send(Some(Value::String("\r\n".to_owned()))).unwrap();
    for line in text.lines() {
        watch.send(Some(Value::String(format!("{line}\n")))).unwrap();
    }
    served_by(&mut client, "s-2");
    nothing_more(&mut client, &leaves);
    let (third, fourth) = (plain("s-3", "replica"), plain("s-4", "replica"));
    let two = [
        list(43, false, vec![stays.entry("draining", ""), third.entry("up", "")]),
        list(44, false, vec![third.entry("draining", ""), fourth.entry("up", "")]),
    ];
    watch.send(Some(Value::String(format!("{}{}\n", two[0], two[1])))).unwrap();
    served_by(&mut client, "s-4");
    watch.send(None).unwrap();
    let (again, _watch) = discovery.watch();
    assert!(again.contains("since=44"), "one watch took all of it: {again}");
}

#[test]
fn a_watch_that_stops_inside_a_list_is_given_up_though_lines_still_come() {
    let (leaves, stays) = (plain("s-1", "replica"), plain("s-2", "replica"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![leaves.entry("up", "replica")]);
    let (_, watch) = discovery.watch();
    let text = list(42, false, vec![leaves.entry("draining", ""), stays.entry("up", "")]).to_string();
    let half = &text[..text.find("\"lifecycle\"").unwrap()];
    watch.send(Some(Value::String(half.to_owned()))).unwrap();
    // Half of an object, and only ends of lines behind it: that is no sign of life.
    let beats = watch.clone();
    std::thread::spawn(move || {
        while beats.send(Some(Value::String("\n".to_owned()))).is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    let (again, second) = discovery.watch();
    assert!(again.contains("since=41"), "{again}");
    second.send(Some(Value::String(format!("{text}\n")))).unwrap();
    let mut client = Client::connect(&pooler);
    served_by(&mut client, "s-2");
    nothing_more(&mut client, &leaves);
}

#[test]
fn a_watch_that_ends_is_opened_anew_at_once_however_large_the_fleet() {
    let discovery = Discovery::new();
    let config = config(&discovery, Vec::new(), 1_024).replace("\"FleetSize\":1", "\"FleetSize\":300");
    assert!(config.contains("\"FleetSize\":300"));
    let _pooler = Pooler::on(&config);
    let began = Instant::now();
    for generation in 42..54 {
        let (_, watch) = discovery.watch();
        watch.send(Some(list(generation, false, Vec::new()))).unwrap();
        watch.send(None).unwrap();
    }
    // A part of the grace each, 0.06 s; by the size of the fleet it would be 3 s in the mean.
    assert!(began.elapsed() < Duration::from_secs(9), "12 watches took {:?}", began.elapsed());
}

#[test]
fn an_older_list_brings_nobody_back_who_was_told_to_drain() {
    let (leaves, stays) = (plain("s-1", "replica"), plain("s-2", "replica"));
    let discovery = Discovery::new();
    let pooler = Pooler::new(&discovery, vec![leaves.entry("up", "replica"), stays.entry("up", "replica")]);
    let (_, watch) = discovery.watch();
    watch.send(Some(list(43, false, vec![leaves.entry("draining", "")]))).unwrap();
    watch.send(None).unwrap();
    // The watch is taken up by what knows less: changes first, then all that it has.
    let (again, watch) = discovery.watch();
    assert!(again.contains("since=43"), "{again}");
    let third = plain("s-3", "replica");
    watch.send(Some(list(40, false, vec![leaves.entry("up", ""), third.entry("up", "")]))).unwrap();
    let mut client = Client::connect(&pooler);
    served_by(&mut client, "s-3");
    nothing_more(&mut client, &leaves);
    let fourth = plain("s-4", "replica");
    let all = [&leaves, &stays, &third, &fourth].map(|server| server.entry("up", "")).to_vec();
    watch.send(Some(list(41, true, all))).unwrap();
    served_by(&mut client, "s-4");
    nothing_more(&mut client, &leaves);
    // What is newer by the numbers of now counts again, and so does a later start.
    let mut started = leaves.entry("up", "");
    started["startedAtMs"] = 1_767_225_600_000_u64.into();
    watch.send(Some(list(40, false, vec![started]))).unwrap();
    served_by(&mut client, "s-1");
}
