// Case 3: a planned restart while values of up to 4 MiB are being passed on.
include!("../common.rs");

/// Settings like those of `portal-kumasi`.
fn settings() -> &'static str {
    r#"{"Clients":{"MarksRetry":true},"Discovery":"push","FamilyInfo":{"HoldsFor":20.0,
    "NeedsByClass":["lag_bound","causal","eventual","strong","mutate"],"Notes":"position","OldestData":[1500.0,0.0,0.0,0.0,0.0],
    "ReportX0":"position","ReportX1":"1 from a primary","SessionMarks":"kept","ShowsRole":"trailing","TellsPosition":true,
    "WaitsForCopy":true,"WhenBehind":"await","Zero":0.0},"FleetSize":3,"Kinds":["quad-fast","quad-std"],
    "Lanes":[
     {"Deadline":1000.0,"Effect":"retryable","KeyScope":"all","LateValue":0.2,"Name":"bundle-menu","Objective":400.0,"Stream":false,"Window":5000.0,"Worth":3.0},
     {"Deadline":1000.0,"Effect":"retryable","KeyScope":"all","LateValue":0.0,"Name":"my-recent","Objective":400.0,"Stream":false,"Window":5000.0,"Worth":1.0},
     {"Deadline":1000.0,"Effect":"retryable","KeyScope":"all","LateValue":0.2,"Name":"usage-history","Objective":300.0,"Stream":false,"Window":5000.0,"Worth":2.0},
     {"Deadline":1000.0,"Effect":"retryable","KeyScope":"all","LateValue":0.0,"Name":"balance-check","Objective":300.0,"Stream":false,"Window":5000.0,"Worth":1.0},
     {"Deadline":5000.0,"Effect":"fragile","KeyScope":"all","LateValue":0.3,"Name":"top-up","Objective":300.0,"Stream":false,"Window":5000.0,"Worth":3.0}],
    "Layer":0,"Limits":{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":125440,"DialTimeout":250.0,"Keepalive":30000.0,
    "MaxRetryAfter":2000.0,"MayDuplicate":false,"OpenCap":31360,"Peers":false,"Probing":true,"RetryAfter":true,"SendCap":10,"StreamsPerConn":1},
    "ObjectiveMix":{"Whole":0.6,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.2},"OverShareWorth":0.1,"Rank":0,
    "Report":{"Fields":["x0","x1"],"How":"probe"},"Resolution":5.0,
    "Rules":{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":16000.0,"ColdFrom":0.16,"DrainGrace":250.0,"Fall":3000.0,"FallMultiple":2.5},
    "ServiceType":"replicas","Tenants":[],"Tiers":["portal-db"],"WeightSource":"none","WorthBy":"request","Zone":"adum","Zones":["adum","suame","ahodwo"]}"#
}

const VALUE: usize = 4 * 1024 * 1024;
/// The servers give a value in pieces of 64 KiB, with these pauses before them, one for each reader: within 4.6 to 6.1 s.
const PIECE: usize = 64 * 1024;
const PAUSES_MS: [u64; 6] = [71, 72, 73, 80, 85, 95];
const READERS: u64 = PAUSES_MS.len() as u64;
/// SIGTERM comes so long after the readers have asked, and SIGKILL so long after it: no earlier than the longest
/// deadline, taken as 3 s, and 0.7 s.
const TERM_AFTER_MS: u64 = 1_000;
const KILL_AFTER_MS: u64 = 8_000;

fn main() {
    begin(&std::env::args().nth(1).expect("folder"), Duration::from_secs(110));
    let log = Arc::new(Log::default());
    let servers: Vec<_> =
        (0..5).map(|number| Server::start(&format!("s-{number}{number}2ae0"), number == 2, log.clone())).collect();
    for server in &servers {
        for reader in 0..READERS {
            server.large.lock().unwrap().insert(format!("map{reader}"), (VALUE, PIECE, PAUSES_MS[reader as usize]));
        }
    }
    let part = |server: &Arc<Server>| Some(if server.primary { "master" } else { "replica" });
    let discovery = Discovery::start(servers.iter().map(|server| server.entry(part(server))).collect());
    let address = free_address();
    let tmpdir = temporary("private");
    let config = temporary("config").join("config.json");
    let text = format!(
        r#"{{"name":"n1","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
        discovery.address, discovery.list(), settings()
    );
    std::fs::write(&config, text).unwrap();
    let env = [("GW_LISTEN", address.to_string()), ("GW_DISCOVERY", discovery.address.to_string())];
    let mut pooler = Pooler::start("pooler", &config, &tmpdir, None, &env);
    pooler.wait_admitted(address);

    // Small requests first, so that the pooler knows its members.
    let mut client = Client::connect(address, Duration::from_secs(2)).expect("client");
    for _ in 0..30 {
        let id = new_id();
        let answer = client.query(&select(&id, "small", "usage-history", 1_000), Duration::from_secs(2));
        note(format!("client: {id} small read: {answer:?}"));
    }
    drop(client);

    let readers: Vec<_> = (0..READERS)
        .map(|reader| {
            thread::spawn(move || {
                let mut client = Client::connect(address, Duration::from_secs(2)).expect("client");
                let id = new_id();
                note(format!("reader {reader}: {id} sent"));
                let asked = Instant::now();
                // 20 s: far longer than the servers take.
                let answer = client.query(&select(&id, &format!("map{reader}"), "usage-history", 1_000), Duration::from_secs(20));
                let took = asked.elapsed().as_millis();
                match answer {
                    Answer::Served(value) if value.len() == VALUE => {
                        note(format!("reader {reader}: {id} whole after {took} ms"));
                        (0, 0)
                    }
                    Answer::Ended(got) if got > 64 * 1024 => {
                        note(format!("reader {reader}: {id} cut off after {took} ms and {got} of {VALUE} bytes"));
                        (1, 0)
                    }
                    other => {
                        let other = format!("{other:?}");
                        note(format!("reader {reader}: {id} neither begun nor whole: {}", &other[..other.len().min(80)]));
                        (0, 1)
                    }
                }
            })
        })
        .collect();
    sleep_ms(TERM_AFTER_MS);
    if trouble() {
        pooler.signal("TERM");
        let told = Instant::now();
        while pooler.exited().is_none() && told.elapsed() < Duration::from_millis(KILL_AFTER_MS) {
            sleep_ms(10);
        }
        match pooler.exited() {
            Some(status) => note(format!("platform: the pooler ended by itself {} ms after SIGTERM, {status}", told.elapsed().as_millis())),
            None => pooler.signal("KILL"),
        }
    }
    let results: Vec<(u32, u32)> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
    // A server notices the end of its connection with one of its next pieces.
    sleep_ms(500);
    let given_on: Vec<String> = servers.iter().flat_map(|server| server.cut.lock().unwrap().clone()).collect();
    let (mut cut, mut other) = (0, 0);
    for (reader, (ended, not_begun)) in results.into_iter().enumerate() {
        other += not_begun;
        // Lost is what the server still gives and its client doesn't get.
        if ended > 0 && given_on.contains(&format!("map{reader}")) {
            cut += 1;
            note(format!("BROKEN: reader {reader}: the pooler ended the connection while the server went on giving"));
        } else if ended > 0 {
            note(format!("reader {reader}: not counted, its server had nothing more to give or didn't notice"));
        }
    }
    let line = format!("values of 4 MiB asked {READERS}, cut off by the pooler {cut}, not begun {other}");
    note(&line);
    println!("{line}");
    if other > 0 {
        end(2);
    }
    end(i32::from(cut > 0));
}
