// Case 2: clients write values of 64 KiB slowly, in pieces. Together the values are a third of the pooler's memory.
include!("../common.rs");

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

const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 1_024;
/// At most a third of the descriptors are held by clients for requests: 341.
const CLIENTS: usize = 240;
const VALUE: usize = 64 * 1024;
/// A statement is written in two pieces, the second one so long after the first; a client may need 2 s for a head.
const WRITE_MS: u64 = 1_500;
/// The last piece is short: pieces may be cut at any point.
const LAST_PIECE: usize = 40;
/// The clients begin one after another within this time, so that the last one begins before the first one ends.
const SPREAD_MS: u64 = 1_000;

/// What the platform counts at least: the private memory of the process and its files.
fn memory_kb(pid: u32, tmpdir: &Path) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let process: u64 = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    let files = std::fs::read_dir(tmpdir).into_iter().flatten().flatten();
    process + files.filter_map(|file| Some(file.metadata().ok()?.len() / 1_024)).sum::<u64>()
}

fn main() {
    begin(&std::env::args().nth(1).expect("folder"), Duration::from_secs(110));
    let log = Arc::new(Log::default());
    let servers: Vec<_> =
        (0..5).map(|number| Server::start(&format!("s-{number}{number}2ae0"), number == 2, log.clone())).collect();
    let part = |server: &Arc<Server>| Some(if server.primary { "master" } else { "replica" });
    let discovery = Discovery::start(servers.iter().map(|server| server.entry(part(server))).collect());
    let address = free_address();
    let tmpdir = temporary("private");
    let config = temporary("config").join("config.json");
    let text = format!(
        r#"{{"name":"n1","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},"known":{},"settings":{}}}"#,
        discovery.address, discovery.list(), settings()
    );
    std::fs::write(&config, text).unwrap();
    let env = [("GW_LISTEN", address.to_string()), ("GW_DISCOVERY", discovery.address.to_string())];
    let mut pooler = Pooler::start("pooler", &config, &tmpdir, None, &env);
    pooler.wait_admitted(address);

    let (peak, killed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let (pid, seen, over) = (pooler.child.id(), peak.clone(), killed.clone());
    let began = Arc::new(AtomicU64::new(0));
    let complete = began.clone();
    thread::spawn(move || {
        let mut shown = 0;
        loop {
            let kb = memory_kb(pid, &tmpdir);
            seen.fetch_max(kb, Ordering::SeqCst);
            if kb > shown + 2_048 {
                shown = kb;
                note(format!("platform: the pooler uses {kb} KB"));
            }
            if kb > MEMORY_MB * 1_024 {
                note(format!("BROKEN: the pooler uses {kb} KB, over memory_mb {MEMORY_MB}: killed, {} of {CLIENTS} clients \
                    have written their whole statement", complete.load(Ordering::SeqCst)));
                signal(pid, "KILL");
                over.store(true, Ordering::SeqCst);
                return;
            }
            sleep_ms(10);
        }
    });

    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let began = began.clone();
            thread::Builder::new().stack_size(512 * 1024).spawn(move || client(number, address, start, &began)).unwrap()
        })
        .collect();
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for client in clients {
        *counts.entry(client.join().unwrap()).or_default() += 1;
    }
    if let Some(status) = pooler.exited() {
        note(format!("platform: the pooler ended, {status}"));
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    let line = format!("peak {} KB of {}, clients {CLIENTS}: {counts:?}", peak.load(Ordering::SeqCst), MEMORY_MB * 1_024);
    note(&line);
    println!("{line}");
    if killed.load(Ordering::SeqCst) || pooler.exited().is_some() {
        end(1);
    }
    let served = counts.iter().find(|(how, _)| *how == "served").map_or(0, |(_, count)| *count);
    end(if served == 0 { 2 } else { 0 });
}

/// A client that has made a small request and then writes a value.
fn client(number: usize, address: SocketAddr, start: Instant, complete: &AtomicU64) -> &'static str {
    sleep_ms(number as u64 * 8);
    let Ok(mut client) = Client::connect(address, Duration::from_secs(2)) else { return "not let in" };
    let id = new_id();
    let small = client.query(&select(&id, "small", "usage-history", 1_000), Duration::from_secs(2));
    if !matches!(small, Answer::Served(_)) {
        note(format!("client {number}: {id} small read: {small:?}"));
    }
    let at = Duration::from_millis(CLIENTS as u64 * 8 + 500 + number as u64 * SPREAD_MS / CLIENTS as u64);
    thread::sleep(at.saturating_sub(start.elapsed()));
    let id = new_id();
    let text = insert(&id, &format!("{number:016x}"), &[7; VALUE], "top-up", 5_000);
    let mut out = Vec::new();
    message(&mut out, b'Q', &[text.as_bytes(), b"\0"].concat());
    let size = if trouble() { out.len() - LAST_PIECE } else { out.len() };
    note(format!("client {number}: {id} begins a statement of {} bytes", out.len()));
    for (index, piece) in out.chunks(size).enumerate() {
        if index > 0 {
            sleep_ms(WRITE_MS);
        }
        if client.wire.stream.write_all(piece).is_err() {
            note(format!("client {number}: {id} can't write any more"));
            return "cut off while writing";
        }
    }
    complete.fetch_add(1, Ordering::SeqCst);
    let answer = client.answer(Duration::from_secs(6));
    let how = match &answer {
        Answer::Served(value) if value.len() == VALUE => "served",
        Answer::Served(_) => "served wrongly",
        Answer::Error(code) if code == "53300" || code == "57P03" => "refused",
        Answer::Error(_) => "failed",
        _ => "ended without an answer",
    };
    note(format!("client {number}: {id} {how}"));
    how
}
