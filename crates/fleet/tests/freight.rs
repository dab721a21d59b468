//! The second kind of deployment (scenarios/freight): parts of the model, its troubles in short audited runs, and
//! the faults that only its full records can hold.

use linnetdeal_core::{Span, Time};
use linnetdeal_fleet::audit::{AuditReport, Auditor, Rule};
use linnetdeal_fleet::discovery::{CallOutcome, DiscoveryService};
use linnetdeal_fleet::faults::{self, Fault};
use linnetdeal_fleet::record::{Log, Record, RecordKind, Sink};
use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_fleet::server::{Admission, Job, Server, ServerConfig};
use linnetdeal_fleet::service_level::ServiceLevel;
use linnetdeal_fleet::sim;
use linnetdeal_fleet::traffic::Traffic;

const BEGIN: Time = Time(1_000_000_000_000);

fn ms(ms: i64) -> Time {
    BEGIN + Span::millis(ms)
}

/// A scenario of this deployment: 10 s, three poolers, and these troubles.
fn scenario(seed: u64, load: f64, troubles: &str) -> Scenario {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/freight");
    let world =
        std::fs::read_to_string(folder.join("world.cue")).expect("the definitions that the scenarios share");
    let text = format!(
        "name: \"short\"\nseed: {seed}\nfleet: _fleet\nbox: _box\ntraffic: _traffic & {{load: {load}}}\nnetwork: _network\n\
         clients: _clients\nlist: _list\nclasses: _classes\ntenants: _tenants\naudit: \"full\"\ntroubles: [{troubles}]\n"
    );
    let mut plan = Scenario::decode_in(&world, "short", text.as_bytes()).expect("a valid scenario");
    (plan.traffic.lasts, plan.fleet.poolers) = (Span::millis(10_000), 3);
    plan
}

fn run(plan: &Scenario) -> (sim::RunOutcome, Vec<Record>, u64) {
    let mut log = Log::with_records();
    let outcome = sim::run(plan, &mut log);
    let digest = log.digest();
    (outcome, log.into_records(), digest)
}

fn audit(plan: &Scenario, records: &[Record], end: Time, first_tries: u64) -> AuditReport {
    let rules = sim::rules(plan);
    let mut auditor = Auditor::new(rules.clone());
    records.iter().for_each(|record| auditor.record(*record));
    auditor.finish(end).check_first_tries(&rules, first_tries)
}

#[test]
fn troubles_alone_and_in_pairs_violate_no_rule_and_are_reproducible() {
    let crash = "{at: \"3s\", what: \"crash\", who: \"boxes 0.17\", lasts: \"4s\"}";
    let hang = "{at: \"3s\", what: \"hang\", who: \"primary\", lasts: \"4s\"}";
    let stale = "{at: \"2s\", what: \"stale\", who: \"list\", factor: 4, lasts: \"6s\"}";
    let slow = "{at: \"4s\", what: \"slow\", who: \"boxes 1\", factor: 2, lasts: \"4s\"}";
    let deploy = "{at: \"2s\", what: \"deploy\", who: \"boxes 0.5\", apart: \"1s\", lasts: \"1s\"}";
    let overbook = "{at: \"2s\", what: \"overbook\", who: \"list\", factor: 6, lasts: \"5s\"}";
    for (seed, load, troubles) in [
        (1, 0.6, format!("{crash}, {slow}")),
        (2, 0.6, format!("{crash}, {stale}, {hang}")),
        (3, 0.55, format!("{deploy}, {overbook}")),
    ] {
        let plan = scenario(seed, load, &troubles);
        let (outcome, records, digest) = run(&plan);
        let report = audit(&plan, &records, outcome.end, outcome.first_tries());
        println!(
            "seed {seed}: {troubles}: service {:.3}, {:?}",
            outcome.service.overall(),
            report.violations
        );
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?} {:?}",
            report.violations,
            report.first_violation
        );
        assert!(
            outcome.served_share() > 0.5 && report.requests > 2_000,
            "seed {seed}: {:.3}",
            outcome.served_share()
        );
        assert_eq!(run(&plan).2, digest, "seed {seed}");
    }
}

#[test]
fn the_auditor_finds_faults_that_need_the_full_records() {
    let plan = scenario(4, 0.9, "{at: \"3s\", what: \"crash\", who: \"boxes 0.2\", lasts: \"4s\"}");
    let (outcome, records, _) = run(&plan);
    let clean = audit(&plan, &records, outcome.end, outcome.first_tries());
    assert!(clean.violations.is_empty(), "{:?} {:?}", clean.violations, clean.first_violation);
    let mut plan = plan;
    // A poll interval that fits into so short a run.
    for fault in Fault::FULL_AUDIT.into_iter().chain([Fault::TwoOut, Fault::StaleSession, Fault::PushedOver])
    {
        let mut rules = sim::rules(&plan);
        rules.poll_interval = Some(Span::millis(3_000));
        let changed =
            fault.inject(&records, &rules).unwrap_or_else(|| panic!("{fault:?} has no place in the records"));
        let mut auditor = Auditor::new(rules.clone());
        changed.iter().for_each(|record| auditor.record(*record));
        let report =
            auditor.finish(faults::audit_end(&changed)).check_first_tries(&rules, outcome.first_tries());
        assert!(report.violations.contains_key(&fault.rule()), "{fault:?}: {:?}", report.violations);
    }
    // The same records violate the rule if clients are allowed one retry less.
    plan.traffic.retries -= 1;
    let report = audit(&plan, &records, outcome.end, outcome.first_tries());
    assert!(report.violations.contains_key(&Rule::Tries), "{:?}", report.violations);
}

#[test]
fn abandoned_jobs_are_completed_and_clients_retry() {
    let (outcome, records, _) = run(&scenario(5, 1.1, ""));
    let count = |what: RecordKind| records.iter().filter(|record| record.what == what).count();
    assert_eq!(count(RecordKind::Took), count(RecordKind::Through), "every accepted job was completed");
    let tries = |number: i64| {
        records.iter().filter(|record| record.what == RecordKind::Try && record.y == number).count()
    };
    assert!(tries(1) > tries(2) && tries(2) > tries(3) && tries(3) > 0 && tries(4) == 0);
    assert_eq!((tries(0) as u64, count(RecordKind::Try) as u64), (outcome.first_tries(), outcome.tries));
    let requests: u64 = outcome.requests.iter().sum();
    assert!(
        outcome.served.iter().sum::<u64>() < requests && outcome.service.overall() < outcome.served_share()
    );
}

#[test]
fn marked_retries_improve_the_service_level_under_overload() {
    let mut plan = scenario(6, 1.1, "");
    let marked = run(&plan).0;
    plan.clients.marks = false;
    let unmarked = run(&plan).0;
    let served = [&marked, &unmarked].map(|outcome| outcome.service.overall());
    println!("seed 6: marked {:.3}, not marked {:.3}", served[0], served[1]);
    assert!(served[0] > served[1] + 0.02, "{served:?}");
}

#[test]
fn list_calls_are_handled_in_turn_and_fail_after_the_longest_wait() {
    let mut discovery = DiscoveryService::new(&scenario(1, 0.5, "").list);
    assert_eq!(discovery.call(ms(0)), CallOutcome::Answered(ms(350)));
    discovery.slowdown = 6.0;
    assert_eq!(discovery.call(ms(0)), CallOutcome::Answered(ms(2_450)));
    assert_eq!(discovery.call(ms(100)), CallOutcome::Failed(ms(2_100)), "it would start after 2,350 ms");
    discovery.slowdown = 1.0;
    assert_eq!(
        discovery.call(ms(4_550)),
        CallOutcome::Answered(ms(4_900)),
        "the failed call took the service's time nevertheless"
    );
    assert_eq!((discovery.calls, discovery.next_notification(ms(1_200))), ((4, 1), ms(1_500)));
}

#[test]
fn thrashing_and_probes_slow_a_box_down() {
    let config = ServerConfig {
        cores: 1,
        speed: 1.0,
        queue_limit: 9,
        queue_slowdown: 0.0,
        thrash: (2.0, 0.5),
        cold: (0.2, Span::millis(1)),
        fall: (2.0, Span::millis(1)),
    };
    let mut server = Server::new(config);
    let job = |id| Job { id, work: Span::millis(10) };
    server.add_overhead(Span::millis(2));
    assert_eq!(server.admit(ms(0), job(0)), Admission::Started(ms(12)));
    for id in 1..5 {
        assert_eq!(server.admit(ms(0), job(id)), Admission::Queued);
    }
    // Three jobs wait beside it, which adds a quarter of its work; from four held on it would be half.
    assert_eq!((server.complete(ms(12), 0), server.queued()), (Some(Some((1, Time(ms(24).0 + 500)))), 3));
}

#[test]
fn worth_is_counted_by_first_tries_and_reduced_beyond_a_share() {
    let plan = scenario(1, 0.5, "");
    let quotas = Traffic::new(&plan).quotas;
    assert!((quotas[0] / quotas[2] - 2.5).abs() < 1e-9, "{quotas:?}");
    let traffic = Traffic::new(&plan);
    let mut service = ServiceLevel::new(&plan, &traffic.plans, &[2.0, 100.0], BEGIN);
    let within: Vec<bool> = (0..4).map(|offset| service.record_request(ms(offset), Some(0), 1)).collect();
    assert_eq!(within, [true, true, false, false]);
    service.record_served(ms(0), Span::millis(300), Some(0), true, 1);
    service.record_served(ms(1), Span::millis(301), Some(0), true, 1);
    service.record_served(ms(2), Span::millis(10), Some(0), false, 1);
    assert!(service.record_request(ms(10_500), Some(1), 3));
    // Requested: 2 + 2 + 0.1 + 0.1 + 3. Served: 2 in time, a fifth of 2 late, and 0.1.
    assert!((service.overall() - 2.5 / 7.2).abs() < 1e-9, "{}", service.overall());
    assert!((service.tenant_shares(0)[0] - 2.4 / 4.0).abs() < 1e-9 && service.tenant_shares(1)[0] == 0.0);
    assert_eq!(
        (service.worst_window().1, service.class_shares(0), service.class_shares(3)[0]),
        (0.0, [1.0, 1.0], 0.0)
    );
}

#[test]
fn invalid_scenarios_of_this_deployment_are_rejected() {
    let error = |text: &str| Scenario::decode("f", text.as_bytes()).unwrap_err().to_string();
    let one = "name: \"one\"\n";
    for (text, what) in [
        ("troubles: [{at: \"1s\", what: \"overbook\", who: \"list\"}]", "nobody asks this list"),
        ("troubles: [{at: \"1s\", what: \"stale\", who: \"primary\"}]", "affect the list"),
        ("troubles: [{at: \"1s\", what: \"deploy\", who: \"boxes 1\"}]", "a deploy needs 'lasts'"),
        (
            "classes: [{name: \"a\", need: \"any\", share: 1, work: \"1ms\", aim: \"1s\", deadline: \"1s\"}]",
            "from 2 to 5",
        ),
    ] {
        let error = error(&format!("{one}{text}\n"));
        assert!(error.contains(what), "{error}");
    }
}
