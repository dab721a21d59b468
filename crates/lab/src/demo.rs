//! A demonstration: a fleet that the pooler knows from a registry alone, in which a server is drained and put back.

use crate::clients::Clients;
use crate::lock;
use crate::pooler::Pooler;
use crate::script::Act;
use crate::script_runner::Testbed;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Runs the demonstration for this many seconds, or until it is interrupted if `seconds` is 0.
///
/// # Errors
///
/// If a server, the registry or the pooler cannot be started.
pub fn run(program: &Path, seconds: u64) -> io::Result<()> {
    let mut testbed = Testbed::new(4, 1)?;
    let operator = testbed.operator_file("");
    let empty_list = serde_json::json!({"generation": 0, "reset": true, "instances": []});
    let mut pooler = Pooler::start(program, Some(&operator), &empty_list)?;
    pooler.wait_for_log("instances read")?;
    let address = pooler.address;
    println!("The operator's file of this pooler:\n\n{operator}");
    println!(
        "The registry: curl -H 'Accept: application/json' http://{}/eureka/apps",
        testbed.peers[0].address
    );
    println!(
        "The pooler:   psql 'host={} port={} user=backend dbname=store sslmode=disable'",
        address.ip(),
        address.port()
    );
    println!(
        "and there:    SELECT content FROM kv WHERE name = 'acc1' /* id=mine1,c=usage-history,d=900,cluster=2 */;"
    );
    println!("(each request has an id of its own; classes are {})\n", crate::clients::CLASSES.join(", "));
    let clients = Clients::start(address, 4, Duration::from_millis(10), 1, &testbed.recorder);
    let started = Instant::now();
    let mut before = lock(&testbed.recorder).verdict();
    for second in 1.. {
        if seconds > 0 && second > seconds {
            break;
        }
        match second % 12 {
            4 => {
                println!("      s-3 is drained in the registry");
                testbed.apply(&Act::Drain("s-3".into()), &pooler)?;
            }
            8 => {
                println!("      s-3 is back, by its own word");
                testbed.apply(&Act::Up("s-3".into()), &pooler)?;
            }
            _ => {}
        }
        std::thread::sleep(
            (SECOND * u32::try_from(second).unwrap_or(u32::MAX)).saturating_sub(started.elapsed()),
        );
        let now = lock(&testbed.recorder).verdict();
        let sent = |name: &String| {
            let (now, before) = (now.sends.get(name), before.sends.get(name));
            now.copied().unwrap_or(0) - before.copied().unwrap_or(0)
        };
        let sent_by_server: Vec<String> =
            testbed.boxes.keys().map(|name| format!("{name} {:>4}", sent(name))).collect();
        println!(
            "{second:>4}s asked {:>4}  served {:>4}  sent to {}  late to a drained box {}",
            now.requests - before.requests,
            now.served - before.served,
            sent_by_server.join("  "),
            now.drains_broken
        );
        before = now;
    }
    clients.stop();
    pooler.signal("TERM")?;
    pooler.wait_for_exit().map(drop)
}
