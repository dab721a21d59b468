//! Decoding of valid operator's files, and of invalid ones, whose errors are reported with their locations.

use linnetdeal_operator::{OperatorSettings, ReadMode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const VALID_TEMPLATE: &str = r#"
package linnetdeal

// A registry beside the platform's list.
registry: {
	servers: [{url: "http://127.0.0.1:8761/eureka"}, {
		url: "https://registry.example/eureka"
		at:  "10.0.0.5:8443"
	}]
	apps: ["DB"], networks: [{prefix: "10.1.0.0/16", zone: "adum"}, {prefix: "fd00::/8"}]
	interval: "5s"
	lost_share: 0.25
	register: _pooler
}
log: level: "warn"
primary: unplanned: {least: "2800ms", usual: "5s"}
"#;

fn decode(text: &str) -> Result<OperatorSettings, String> {
    OperatorSettings::decode("operator.cue", text.as_bytes()).map_err(|diagnostics| diagnostics.to_string())
}

/// A valid file: the template with nested records in braces and a hidden field.
fn valid_file() -> String {
    VALID_TEMPLATE
        .replace(
            "primary: unplanned: {least: \"2800ms\", usual: \"5s\"}",
            "primary: {unplanned: {least: \"2800ms\", usual: \"5s\"}}",
        )
        .replace("log: level: \"warn\"", "log: {level: \"warn\"}\n_pooler: {app: \"POOLER\", renew: \"10s\"}")
}

#[test]
fn file_is_decoded_with_defaults() {
    let operator = decode(&valid_file()).unwrap();
    let registry = operator.registry.unwrap();
    assert_eq!(registry.interval, Duration::from_secs(5));
    assert_eq!(registry.timeout, Duration::from_secs(10));
    assert_eq!((registry.lost_share, registry.believe_after, registry.read), (0.25, None, ReadMode::Delta));
    assert_eq!(registry.servers[1].address.unwrap().port(), 8443);
    assert_eq!(registry.networks[1].prefix.to_string(), "fd00::/8");
    assert_eq!(registry.max_body_bytes, 64 << 20);
    assert_eq!(registry.metadata.group, "group");
    let registration = registry.registration.unwrap();
    assert_eq!(
        (registration.renew_interval, registration.lease_duration),
        (Duration::from_secs(10), Duration::from_secs(90))
    );
    assert_eq!(operator.log.level, "warn");
    let (planned, unplanned) = (operator.primary.planned, operator.primary.unplanned.unwrap());
    assert_eq!(
        (planned, unplanned.minimum, unplanned.typical.as_secs()),
        (None, Duration::from_millis(2_800), 5)
    );
    let inconsistent = valid_file().replace("\"2800ms\"", "\"6s\"");
    assert!(
        decode(&inconsistent).unwrap_err().contains("'primary.unplanned.usual': it is shorter than 'least'")
    );
    assert_eq!(decode("").unwrap(), OperatorSettings::default(), "an empty file gives the defaults");
}

#[test]
fn each_error_is_reported_with_its_location() {
    let cases = [
        (
            "interval: \"5s\"",
            "intervall: \"5s\"",
            "11:2: there is no field 'intervall' here; is 'interval' meant?",
        ),
        ("\"5s\"", "5", "11:12: 'interval': 5 does not fit =~"),
        ("\"5s\"", "\"5 s\"", "11:12: 'interval': \"5 s\" does not fit"),
        ("\"5s\"", "\"5ms\"", "11:12: 'registry.interval': 5ms is not between 100ms and 3600s"),
        ("0.25", "1.5", "12:14: 'lost_share': 1.5 does not fit number & >=0 & <=1 or 0.5"),
        ("0.25", "\"much\"", "12:14: 'lost_share': \"much\" does not fit"),
        ("\"10.1.0.0/16\"", "\"10.1.0.1/16\"", "'registry.networks[0].prefix': 10.1.0.1/16 has bits set"),
        ("fd00::/8", "10.1.0.0/16", "'registry.networks[1].prefix': 10.1.0.0/16 is named twice"),
        ("apps: [\"DB\"]", "apps: []", "10:8: 'registry.apps': 0 are named"),
        ("apps: [\"DB\"], ", "", "'registry.apps' is missing"),
        ("url: \"http://", "url: \"ftp://", "does not fit =~\"^https?"),
        ("\"10.0.0.5:8443\"", "\"10.0.0.5:99999\"", "'registry.servers[1].at': invalid socket address"),
        ("_pooler\n", "_poler\n", "13:12: '_poler' is not defined; is '_pooler' meant?"),
        ("\"10s\"}", "\"80s\"}", "one renewal that is lost must not end it"),
        ("\"10s\"}", "\"10s\"", "expected"),
        ("interval: \"5s\"", "interval: \"5s\"\n\tinterval: \"5s\"", "12:2: 'interval' stands here twice"),
        (
            "\"warn\"",
            "\"loud\"",
            "15:14: 'level': \"loud\" does not fit \"error\" or \"warn\" or \"info\" or \"debug\"",
        ),
        ("\"5s\"", "\"5s\"\n\tread: \"vip\"", "'registry.vip': it goes with read"),
        ("log:", "#Own: {}\nlog:", "15:1: '#Own' is defined already"),
        ("\"5s\"", "_loop\n", "it refers to itself"),
    ];
    for (from, to, expected) in cases {
        let text = valid_file().replacen(from, to, 1)
            + if to.starts_with("_loop") { "\n_loop: _loop\n" } else { "" };
        let message = decode(&text).expect_err(to);
        assert!(message.contains(expected), "'{to}' gives\n{message}\nand not\n{expected}");
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = valid_file()
        .replace("\"5s\"", "7")
        .replace("0.25", "2")
        .replace("\"warn\"", "3")
        .replace("\"2800ms\"", "4");
    let diagnostics = OperatorSettings::decode("f", text.as_bytes()).unwrap_err().diagnostics;
    assert_eq!(
        diagnostics.iter().map(|diagnostic| diagnostic.location.line).collect::<Vec<_>>(),
        [11, 12, 15, 17, 17]
    );
}

#[test]
fn excessive_nesting_and_length_are_errors_and_no_crash() {
    for text in ["[".repeat(100_000), format!("a: {}", "{b: ".repeat(5_000)), "a: (".repeat(9_999)] {
        assert!(decode(&text).unwrap_err().contains("deep"));
    }
    assert!(decode(&"// long\n".repeat(40_000)).unwrap_err().contains("longer than"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_file_causes_a_panic(cut in 0..700_usize, junk in "[ -~\\n]{0,12}", keep in any::<bool>()) {
        let text = valid_file();
        let cut = cut.min(text.len());
        let rest = if keep { &text[cut..] } else { "" };
        let _ = decode(&format!("{}{junk}{rest}", &text[..cut]));
    }
}

const LEASES: &str = r#"package linnetdeal
leases: {
	site: "kumasi"
	version: 2
	voters: [0, 1, 3]
	previous: [[0, 1, 2]]
	keys: ["key"]
	tasks: [{name: "sweep", term: "1s", call: {address: "127.0.0.1:80"}}]
}
"#;

#[test]
fn leases_are_decoded_or_rejected_with_locations() {
    let leases = decode(LEASES).unwrap().leases.unwrap();
    assert_eq!((leases.version, leases.drift, leases.previous.len()), (2, 50, 1));
    assert_eq!(leases.tasks[0].call.as_ref().map(|call| call.path.as_str()), Some("/"));
    for (valid, invalid, expected) in [
        ("[0, 1, 3]", "[0, 1]", "2 voters are named, and 3, 5 or 7 decide"),
        ("[0, 1, 3]", "[0, 1, 1]", "a pooler is named twice"),
        ("[0, 1, 3]", "[0, 4, 3]", "voters change one at a time"),
        ("[\"key\"]", "[]", "0 keys are named"),
        ("\"1s\"", "\"11s\"", "11s is longer than 'longest'"),
        ("\"1s\"", "\"10ms\"", "10ms is not between"),
        ("127.0.0.1:80", "127.0.0.1:99999", "leases"),
        ("site: \"kumasi\"\n", "", "site"),
    ] {
        let text = LEASES.replace(valid, invalid);
        let message = decode(&text).unwrap_err();
        assert!(
            message.contains(expected) || expected == "leases" && message.contains("f:8:"),
            "{invalid}: {message}"
        );
    }
}

#[test]
fn work_is_decoded_with_defaults_or_rejected_with_locations() {
    let with_work = |text: &str| format!("{LEASES}work: {{{text}}}\n");
    let work = decode(&with_work("quiet: [{from: \"22:00\", to: \"05:30\"}]")).unwrap().work.unwrap();
    assert_eq!(
        (work.server_limits.total, work.per_group, work.min_warm, work.order.as_str()),
        (1, 1, 1, "ahead")
    );
    assert_eq!(work.quiet_hours, [(1_320, 330)]);
    assert!(decode("package linnetdeal\nwork: {}\n").unwrap_err().contains("rests on 'leases'"));
    for (text, expected) in [
        ("term: \"11s\"", "longer than 'leases.longest'"),
        ("quiet: [{from: \"22:00\", to: \"22:00\"}]", "it begins when it ends"),
        ("quiet: [{from: \"24:00\", to: \"22:00\"}]", "quiet"),
        ("servers: {all: 0}", "all"),
        ("handover: {address: \"127.0.0.1:99999\"}", "invalid socket address"),
        ("unknown: 1", "unknown"),
    ] {
        let message = decode(&with_work(text)).unwrap_err();
        assert!(message.contains(expected), "{text}: {message}");
    }
    let reserved_name = with_work("").replace("name: \"sweep\"", "name: \"work\"");
    assert!(decode(&reserved_name).unwrap_err().contains("the lease that 'work' rests on"));
    let previous_sets = "previous: [[0, 1, 2], [10, 11, 12, 13, 14, 15, 16], [20, 21, 22, 23, 24, 25, 26]]";
    let too_many_voters = with_work("").replace("previous: [[0, 1, 2]]", previous_sets);
    assert!(decode(&too_many_voters).unwrap_err().contains("18 voters in all"));
}
