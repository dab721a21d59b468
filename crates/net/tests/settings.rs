//! The schema of the settings against what the decoders ask for. The example names every key, and everything in it is invented.

use linnetdeal_core::settings::Pairs;
use linnetdeal_core::settings::schema::{KEYS, Key, Usage};
use linnetdeal_net::config::{Config, NoEffect, PUT_ASIDE, decode_settings};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A complete example.
fn settings() -> Value {
    let class = |name: &str, effect: &str, aim: f64| {
        json!({"Name": name, "Effect": effect, "Objective": aim, "Deadline": 2.5 * aim, "Worth": 2.0,
               "LateValue": 0.1, "AimStretch": 0.5, "KeyScope": "cell", "Window": 4000.0, "Stream": false})
    };
    let classes = [
        class("seat-map", "retryable", 180.0),
        class("ticket", "dedup", 900.0),
        class("refund", "fragile", 900.0),
    ];
    json!({
        "Clients": {"MarksRetry": true},
        "Costs": {"Connection": 0.01, "CrossZone": 0.02, "Discovery": 0.03, "Fleet": 0.0, "Handshake": 0.04,
                  "LateFail": 0.05, "Moves": 0.0, "Origin": 0.0, "Peer": 0.06, "Probe": 0.07, "Waste": 0.08},
        "Discovery": "ask",
        "FamilyInfo": {"HoldsFor": 15.0, "NeedsByClass": ["lag_bound", "mutate", "mutate"], "Notes": "in words",
                       "OldestData": [700.0, 0.0, 0.0], "ReportX0": "in words", "ReportX1": "in words",
                       "SessionMarks": "brought", "ShowsRole": "none", "TellsPosition": true,
                       "WaitsForCopy": false, "WhenBehind": "bounce", "Zero": 1234.5},
        "FleetSize": 7, "Kinds": ["dwarf", "giant"], "Lanes": classes, "Layer": 0,
        "Limits": {"Cancel": true, "CpuUsPerRequest": 0.0, "CpuUsPerS": 90000, "DialTimeout": 333.0,
                   "Keepalive": 21000.0, "MaxRetryAfter": 1500.0, "MayDuplicate": true, "OpenCap": 777,
                   "Peers": true, "Probing": true, "RetryAfter": true, "SendCap": 5, "StreamsPerConn": 1},
        "ObjectiveMix": {"Whole": 0.4, "WorstClass": 0.3, "WorstTenant": 0.2, "WorstWindow": 0.1},
        "OverShareWorth": 0.2, "Rank": 4,
        "Report": {"Fields": ["x0", "x1", "util"], "How": "answers"}, "Resolution": 2.0,
        "Rules": {"AnswerSlack": 10.0, "AskEvery": 8000.0, "Cold": 9000.0, "ColdFrom": 0.3, "DrainGrace": 350.0,
                  "Fall": 2200.0, "FallMultiple": 2.2, "SoftRemoval": false},
        "ServiceType": "replicas",
        "Tenants": [{"Name": "opera", "QuotaRps": 60.0, "Portion": 0.6},
                    {"Name": "circus", "QuotaRps": 40.0, "Portion": 0.4}],
        "Tiers": ["box-office"], "WeightSource": "nominal", "WorthBy": "work", "Zone": "left-bank",
        "Zones": ["left-bank", "right-bank"],
    })
}

fn config(settings: &Value) -> String {
    json!({"listen": "127.0.0.1:0", "settings": settings}).to_string()
}

#[test]
fn every_key_of_the_schema_is_read_or_stands_as_one_that_is_not() {
    let pairs = Pairs::from_json(&settings());
    assert_eq!(pairs.unknown(), Vec::<&str>::new(), "not in the schema");
    let present: BTreeSet<&str> = pairs.keys().filter_map(Key::find).map(|key| key.path).collect();
    decode_settings(&pairs).unwrap();
    let asked = pairs.requested();
    let strange: Vec<&String> = asked.iter().filter(|path| Key::find(path).is_none()).collect();
    assert_eq!(strange, Vec::<&String>::new(), "asked for and not in the schema");
    let asked: BTreeSet<&str> = asked.iter().filter_map(|path| Key::find(path)).map(|key| key.path).collect();
    for Key { path, usage } in KEYS {
        assert!(present.contains(path), "the example lacks {path}");
        let decoded = !matches!(usage, Usage::Unread(_));
        assert_eq!(asked.contains(path), decoded, "{path} stands as {usage:?}");
    }
}

/// The same setting with another value that it may have.
fn other(value: &Value) -> Value {
    match value {
        Value::Bool(is) => (!is).into(),
        Value::Number(_) => (value.as_f64().unwrap() + 1.0).into(),
        Value::Array(all) if all[0].is_string() => Value::from(all[..all.len() - 1].to_vec()),
        Value::Array(all) => all.iter().map(other).collect(),
        Value::String(text) => match text.as_str() {
            "ask" => "push",
            "brought" => "kept",
            "bounce" => "none",
            "fragile" | "dedup" => "retryable",
            "retryable" => "fragile",
            _ => "else",
        }
        .into(),
        _ => panic!("{value}"),
    }
}

/// All places of plain values and lists of them, as paths and as JSON pointers.
fn places(value: &Value, pointer: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| places(value, &format!("{pointer}/{name}"), all));
        }
        Value::Array(items) if items[0].is_object() => {
            items.iter().enumerate().for_each(|(at, item)| places(item, &format!("{pointer}/{at}"), all));
        }
        _ => all.push(pointer.to_owned()),
    }
}

#[test]
fn a_setting_that_stands_as_read_changes_what_is_decoded_and_the_others_change_nothing() {
    let before = settings();
    let decode = |settings: &Value| decode_settings(&Pairs::from_json(settings)).ok();
    let mut all = Vec::new();
    places(&before, "", &mut all);
    for pointer in all {
        let path = pointer[1..].replace('/', ".");
        let mut after = before.clone();
        let value = after.pointer_mut(&pointer).unwrap();
        *value = other(value);
        let changed = decode(&after) != decode(&before);
        // Bounds count only where a class has one, and the longest deadline is the longest of all.
        let shorter = ["Lanes.0.Deadline"].contains(&path.as_str());
        let decoded = !matches!(Key::find(&path).unwrap().usage, Usage::Unread(_));
        assert_eq!(changed, decoded && !shorter, "{path}");
    }
}

#[test]
fn what_this_host_puts_aside_has_no_effect() {
    for (path, _) in PUT_ASIDE {
        let before = settings();
        let mut after = before.clone();
        let value = after.pointer_mut(&format!("/{}", path.replace('.', "/"))).unwrap();
        *value = other(value);
        let [before, after] = [before, after].map(|settings| Config::decode(&config(&settings)).unwrap());
        assert_eq!(before.settings, after.settings, "{path}");
        assert_eq!(before.host, after.host, "{path}");
    }
}

#[test]
fn a_host_tells_what_it_puts_aside_beside_what_nobody_reads() {
    let mut example = settings();
    example["Rules"]["Wind"] = 3.into();
    let NoEffect { unused, unknown } = NoEffect::of(&config(&example)).unwrap();
    assert_eq!(unknown, ["Rules.Wind"]);
    let paths: Vec<&str> = unused.iter().map(|of| of.path.as_str()).collect();
    let known = KEYS.iter().filter(|key| key.usage != Usage::Read).map(|key| key.path);
    let mut wanted: Vec<&str> =
        known.chain(PUT_ASIDE.map(|(path, _)| path)).chain(["Report.Fields util"]).collect();
    wanted.sort_unstable();
    assert_eq!(paths, wanted);
}
