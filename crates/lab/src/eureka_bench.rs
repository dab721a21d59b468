//! Measures what a registry with many instances costs the pooler: CPU time and memory for a full list and for a delta,
//! as the operating system reports them for its process.

use crate::eureka::{Peer, Registration, Registrations};
use crate::pooler::Pooler;
use crate::recorder::Recorder;
use crate::script_runner::wait_until;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of deltas measured with changes, and again without.
const DELTA_COUNT: u64 = 40;
/// The number of instances that change between two deltas.
const CHANGES_PER_DELTA: usize = 10;

/// The CPU time that a single-threaded process has used.
fn cpu_time(process: u32) -> io::Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat"))?;
    let ns = text.split_ascii_whitespace().next().and_then(|text| text.parse().ok());
    ns.map(Duration::from_nanos).ok_or_else(|| io::Error::other("schedstat holds no CPU time"))
}

/// A value in KB from `/proc/<pid>/status`, such as that of `VmRSS`.
fn memory_kb(process: u32, name: &str) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.and_then(|line| line.split_ascii_whitespace().nth(1)?.parse().ok());
    kb.ok_or_else(|| io::Error::other(format!("the process status has no {name}")))
}

fn threads_and_descriptors(process: u32) -> io::Result<(usize, usize)> {
    let count =
        |folder: &str| Ok::<_, io::Error>(std::fs::read_dir(format!("/proc/{process}/{folder}"))?.count());
    Ok((count("task")?, count("fd")?))
}

/// Measures the costs with this many instances and returns them as a JSON object.
///
/// # Errors
///
/// If the pooler cannot be started, does not follow the registry in time, or cannot be measured.
pub fn measure(program: &Path, instances: usize) -> io::Result<Value> {
    let empty_list = json!({"generation": 0, "reset": true, "instances": []});
    let idle = Pooler::start(program, None, &empty_list)?;
    std::thread::sleep(Duration::from_millis(300));
    let (idle_kb, idle_threads) = (memory_kb(idle.id(), "VmRSS")?, threads_and_descriptors(idle.id())?);
    drop(idle);

    let registrations = Registrations::default().with_delta_retention(POLL_INTERVAL * 3 / 4);
    let ids: Vec<String> = (0..instances).map(|index| format!("box-{index:05}")).collect();
    registrations.register_all(ids.iter().enumerate().map(|(index, id)| Registration {
        app: "DB".into(),
        id: id.clone(),
        ip: format!("127.10.{}.{}", index / 250, index % 250 + 1),
        port: 6_543,
        status: "UP".into(),
        overridden: "UNKNOWN".into(),
        dirty: registrations.next_timestamp(),
        metadata: BTreeMap::from([
            ("group".to_owned(), (index / 6).to_string()),
            ("role".to_owned(), if index % 6 == 0 { "primary" } else { "replica" }.to_owned()),
            ("zone".to_owned(), "adum".to_owned()),
        ]),
        ..Registration::default()
    }));
    let recorder: Arc<Mutex<Recorder>> = Arc::default();
    let peer = Peer::start(&registrations, &recorder, SocketAddr::from(([127, 0, 0, 1], 0)))?;
    peer.set_encoding(false, false);
    let operator = format!(
        "registry: {{\n\tservers: [{{url: \"http://{}/eureka\"}}]\n\tapps: [\"DB\"]\n\
         \tnetworks: [{{prefix: \"127.10.0.0/16\"}}]\n\tinterval: \"{}ms\"\n}}\n",
        peer.address,
        POLL_INTERVAL.as_millis()
    );
    let started = Instant::now();
    let mut pooler = Pooler::start(program, Some(&operator), &empty_list)?;
    pooler.wait_for_log("instances read")?;
    let (full_cpu, full_wall) = (cpu_time(pooler.id())?, started.elapsed());
    let wait_for_deltas = || wait_until("deltas", || peer.request_counts().deltas >= 3);
    wait_for_deltas()?;
    let (peak_kb, held_kb) = (memory_kb(pooler.id(), "VmHWM")?, memory_kb(pooler.id(), "VmRSS")?);
    let (threads, descriptors) = threads_and_descriptors(pooler.id())?;

    // Deltas without a change, and then as many with `CHANGES_PER_DELTA` changes each.
    let per_delta = |changes: bool| -> io::Result<(f64, u64)> {
        let (first, fulls) = (peer.request_counts().deltas, peer.request_counts().fulls);
        let before = cpu_time(pooler.id())?;
        let mut received = first;
        let mut up = true;
        while received < first + DELTA_COUNT {
            if changes {
                up = !up;
                registrations.set_statuses(
                    &ids[..CHANGES_PER_DELTA.min(ids.len())],
                    if up { "UP" } else { "OUT_OF_SERVICE" },
                );
            }
            let next = received + 1;
            wait_until("a delta", || peer.request_counts().deltas >= next)?;
            received = peer.request_counts().deltas;
        }
        let spent = cpu_time(pooler.id())? - before;
        Ok((spent.as_secs_f64() * 1_000.0 / (received - first) as f64, peer.request_counts().fulls - fulls))
    };
    let (empty_delta_ms, _) = per_delta(false)?;
    let (changed_delta_ms, fulls) = per_delta(true)?;
    let round = |value: f64| (value * 1_000.0).round() / 1_000.0;
    Ok(json!({
        "instances": instances, "idle_mb": round(idle_kb as f64 / 1_024.0),
        "full_peak_over_idle_mb": round((peak_kb.saturating_sub(idle_kb)) as f64 / 1_024.0),
        "held_over_idle_mb": round((held_kb.saturating_sub(idle_kb)) as f64 / 1_024.0),
        "start_and_full_cpu_ms": round(full_cpu.as_secs_f64() * 1_000.0),
        "start_and_full_wall_ms": round(full_wall.as_secs_f64() * 1_000.0),
        "empty_delta_cpu_ms": round(empty_delta_ms), "delta_of_10_cpu_ms": round(changed_delta_ms),
        "ten_changes_cpu_ms": round(changed_delta_ms - empty_delta_ms), "fulls_meanwhile": fulls,
        "cpu_share_at_30_s": round(changed_delta_ms / 30_000.0),
        "more_threads": threads - idle_threads.0, "more_descriptors": descriptors - idle_threads.1,
    }))
}
