//! Scenarios that can't be run on sockets are refused before anything is started.

use linnetdeal_fleet::scenario::Scenario;
use linnetdeal_lab::socket_run;

fn plan(text: &str) -> Scenario {
    let text = format!("package scenario\nname: \"one\"\n{text}\n");
    Scenario::decode("one", text.as_bytes()).expect("a scenario")
}

#[test]
fn a_scenario_beyond_the_limits_is_refused_and_the_error_names_the_limit() {
    for (text, what) in [
        ("fleet: {groups: 11}", "66 boxes"),
        ("fleet: {poolers: 17}", "17 poolers"),
        ("traffic: {rate: 9000}", "9000 requests a second"),
        (
            "traffic: {rate: 900}\ntroubles: [{at: \"1s\", what: \"surge\", who: \"primary\", factor: 10}]",
            "9000 requests",
        ),
        ("traffic: {lasts: \"20m\"}", "1200 seconds"),
    ] {
        let error = socket_run::check_limits(&plan(text)).expect_err(text).to_string();
        assert!(error.contains(what) && error.starts_with("one: "), "{error}");
    }
    assert!(socket_run::check_limits(&plan("fleet: {groups: 10}\ntraffic: {load: 0.1}")).is_ok());
}
