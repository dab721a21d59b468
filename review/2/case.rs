// Case 2: a replica crashes, the pooler gives up the commits of its sessions, and the replica comes back behind.
include!("../common.rs");

/// Settings like those of `news-platform`: members check nothing, sessions are remembered by the pooler.
fn settings() -> &'static str {
    r#"{"Clients":{"MarksRetry":false},"Discovery":"push","FamilyInfo":{"HoldsFor":0.0,
    "NeedsByClass":["lag_bound","causal","mutate"],"Notes":"position","OldestData":[200.0,0.0,0.0],
    "ReportX0":"position","ReportX1":"1 from a primary","SessionMarks":"kept","ShowsRole":"none","TellsPosition":true,
    "WaitsForCopy":false,"WhenBehind":"none","Zero":0.0},"FleetSize":2,"Kinds":["std-4core"],
    "Lanes":[
     {"Deadline":1000.0,"Effect":"retryable","KeyScope":"all","LateValue":0.0,"Name":"article-read","Objective":400.0,"Stream":false,"Window":5000.0,"Worth":2.0},
     {"Deadline":1000.0,"Effect":"retryable","KeyScope":"all","LateValue":0.0,"Name":"own-read","Objective":250.0,"Stream":false,"Window":5000.0,"Worth":1.0},
     {"Deadline":5000.0,"Effect":"fragile","KeyScope":"all","LateValue":0.5,"Name":"write","Objective":500.0,"Stream":false,"Window":5000.0,"Worth":6.0}],
    "Layer":0,"Limits":{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"DialTimeout":250.0,"Keepalive":30000.0,
    "MaxRetryAfter":1000.0,"MayDuplicate":false,"OpenCap":31360,"Peers":false,"Probing":true,"RetryAfter":true,"SendCap":10,"StreamsPerConn":1},
    "ObjectiveMix":{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.3},"OverShareWorth":0.1,"Rank":0,
    "Report":{"Fields":["x0","x1","util"],"How":"probe"},"Resolution":5.0,
    "Rules":{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":12000.0,"ColdFrom":0.19,"DrainGrace":500.0,"Fall":1000.0,"FallMultiple":3.0},
    "ServiceType":"replicas","Tenants":[],"Tiers":["db-fleet"],"WeightSource":"rough","WorthBy":"request","Zone":"reykjavik-a","Zones":["reykjavik-a","hafnarfjordur-b"]}"#
}

/// Requests a second: a pooler receives 200 to 320, "and two to three times as many on one day".
const RATE: u64 = 960;
const READ_RATE: u64 = 320;
const WORKERS: u64 = 48;
/// Of 50 requests this many are writes, each of a session of its own; the others are reads of articles.
const WRITES_OF_50: u64 = 7;
/// The replica crashes once so many sessions have written, and is back this long after.
const CRASH_AFTER: u64 = 6_600;
const DOWN_MS: u64 = 18_000;
/// How late the list tells of the crash and of the return.
const NOTICE_MS: u64 = 1_500;
/// How long sessions read after that.
const READ_MS: u64 = 8_000;

/// Sessions read now: as many reads of articles fewer, so that the rate stays the same.
static READING: AtomicBool = AtomicBool::new(false);

type Sessions = Mutex<Vec<(String, f64)>>;

fn main() {
    begin(&std::env::args().nth(1).expect("folder"), Duration::from_secs(115));
    let log = Arc::new(Log::default());
    let servers: Vec<_> =
        (0..5).map(|number| Server::start(&format!("s-{number}{number}2ae0"), number == 2, log.clone())).collect();
    let discovery = Discovery::start(servers.iter().map(|server| server.entry(None)).collect());
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

    // Writes of new sessions, and reads of articles beside them, at a steady rate.
    let (written, writing) = (Arc::new(Sessions::default()), Arc::new(AtomicBool::new(true)));
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (written, writing) = (written.clone(), writing.clone());
            thread::Builder::new().stack_size(512 * 1024).spawn(move || write(worker, address, &written, &writing)).unwrap()
        })
        .collect();
    let count = || written.lock().unwrap().len() as u64;
    while count() < CRASH_AFTER {
        sleep_ms(20);
    }
    let (crashed, replica) = (now_ms(), &servers[4]);
    if trouble() {
        replica.crash();
        sleep_ms(NOTICE_MS);
        discovery.update(&replica.id, |entry| entry.lifecycle = "removed");
    }
    // Writes go on all the time, past 8,192 sessions.
    while now_ms() < crashed + DOWN_MS as f64 {
        sleep_ms(20);
    }
    if trouble() {
        replica.come_back(crashed);
        sleep_ms(NOTICE_MS);
        let started = now_ms() - NOTICE_MS as f64;
        discovery.update(&replica.id, |entry| (entry.lifecycle, entry.started) = ("up", started));
    }
    // Sessions that wrote since the crash read what they wrote.
    let mine: Vec<_> = written.lock().unwrap().iter().filter(|(_, at)| *at > crashed).cloned().collect();
    let mine = Arc::new(mine);
    note(format!("clients: {} sessions have written, {} of them since the crash", count(), mine.len()));
    READING.store(true, Ordering::SeqCst);
    let (stale, reads) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let readers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (mine, stale, reads) = (mine.clone(), stale.clone(), reads.clone());
            thread::Builder::new().stack_size(512 * 1024).spawn(move || read(worker, address, &mine, &stale, &reads)).unwrap()
        })
        .collect();
    readers.into_iter().for_each(|reader| reader.join().unwrap());
    writing.store(false, Ordering::SeqCst);
    workers.into_iter().for_each(|worker| worker.join().unwrap());
    let (stale, reads) = (stale.load(Ordering::SeqCst), reads.load(Ordering::SeqCst));
    let line = format!("sessions that wrote {}, since the crash {}, reads of those served {reads}, reads that didn't see the session's write {stale}", count(), mine.len());
    note(&line);
    println!("{line}");
    if reads < 200 || count() < 8_300 {
        end(2);
    }
    end(i32::from(stale > 0));
}

fn write(worker: u64, address: SocketAddr, written: &Sessions, writing: &AtomicBool) {
    let (mut client, mut number) = (None, 0);
    let start = Instant::now();
    while writing.load(Ordering::SeqCst) {
        number += 1;
        let due = Duration::from_millis(number * 1_000 * WORKERS / RATE);
        thread::sleep(due.saturating_sub(start.elapsed()));
        let is_write = (number * 11 + worker) % 50 < WRITES_OF_50;
        if READING.load(Ordering::SeqCst) && !is_write && number % 5 < 2 {
            continue;
        }
        if client.is_none() {
            client = Client::connect(address, Duration::from_secs(2)).ok();
        }
        let Some(open) = client.as_mut() else { continue };
        let (id, key) = (new_id(), format!("{:016x}", 0x7f3a_0000_0000_0000 + worker * 0x1_0000_0000 + number));
        let text = if is_write {
            insert(&id, &key, b"written", "write", 5_000)
        } else {
            select(&id, "article", "article-read", 1_000)
        };
        match open.query(&text, Duration::from_millis(5_500)) {
            Answer::Served(_) if is_write => written.lock().unwrap().push((key, now_ms())),
            Answer::Served(_) => {}
            Answer::Error(code) => note(format!("client: {id} {code}")),
            _ => client = None,
        }
    }
}

fn read(worker: u64, address: SocketAddr, mine: &[(String, f64)], stale: &AtomicU64, reads: &AtomicU64) {
    let (mut client, mut number) = (None, 0);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(READ_MS) {
        number += 1;
        let due = Duration::from_millis(number * 1_000 * WORKERS / READ_RATE);
        thread::sleep(due.saturating_sub(start.elapsed()));
        if client.is_none() {
            client = Client::connect(address, Duration::from_secs(2)).ok();
        }
        let Some(open) = client.as_mut() else { continue };
        let (key, at) = &mine[((number * WORKERS + worker) * 7_919) as usize % mine.len()];
        let id = new_id();
        match open.query(&select(&id, key, "own-read", 1_000), Duration::from_millis(1_500)) {
            Answer::Served(value) => {
                reads.fetch_add(1, Ordering::SeqCst);
                if value != b"written" {
                    stale.fetch_add(1, Ordering::SeqCst);
                    note(format!("BROKEN: {id} session {key} read {}, its write was answered {:.0} ms before",
                        String::from_utf8_lossy(&value), now_ms() - at));
                }
            }
            Answer::Error(code) => note(format!("client: {id} {code}")),
            _ => client = None,
        }
    }
}
