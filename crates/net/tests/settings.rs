//! Compares the schema of the settings with the keys that the decoders read. The example sets every key, to
//! invented values.

use linnetdeal_core::settings::Pairs;
use linnetdeal_core::settings::schema::{KEYS, Key, Usage};
use linnetdeal_net::config::{Config, IneffectiveSettings, OVERRIDDEN, decode_settings};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Settings with a value for every key of the schema.
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
fn every_key_of_the_schema_is_read_or_marked_as_unread() {
    let pairs = Pairs::from_json(&settings());
    assert_eq!(pairs.unknown(), Vec::<&str>::new(), "not in the schema");
    let present: BTreeSet<&str> = pairs.keys().filter_map(Key::find).map(|key| key.path).collect();
    decode_settings(&pairs).unwrap();
    let requested_keys = pairs.requested();
    let not_in_schema: Vec<&String> =
        requested_keys.iter().filter(|path| Key::find(path).is_none()).collect();
    assert_eq!(not_in_schema, Vec::<&String>::new(), "requested but not in the schema");
    let requested_keys: BTreeSet<&str> =
        requested_keys.iter().filter_map(|path| Key::find(path)).map(|key| key.path).collect();
    for Key { path, usage } in KEYS {
        assert!(present.contains(path), "the example lacks {path}");
        let decoded = !matches!(usage, Usage::Unread(_));
        assert_eq!(requested_keys.contains(path), decoded, "{path} is marked as {usage:?}");
    }
}

/// Another valid value of the same setting.
fn other_value(value: &Value) -> Value {
    match value {
        Value::Bool(flag) => (!flag).into(),
        Value::Number(_) => (value.as_f64().unwrap() + 1.0).into(),
        Value::Array(items) if items[0].is_string() => Value::from(items[..items.len() - 1].to_vec()),
        Value::Array(items) => items.iter().map(other_value).collect(),
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

/// Collects the JSON pointers of all scalar values and of lists of scalars.
fn collect_pointers(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, value)| collect_pointers(value, &format!("{pointer}/{name}"), pointers));
        }
        Value::Array(items) if items[0].is_object() => {
            items
                .iter()
                .enumerate()
                .for_each(|(at, item)| collect_pointers(item, &format!("{pointer}/{at}"), pointers));
        }
        _ => pointers.push(pointer.to_owned()),
    }
}

#[test]
fn a_setting_marked_as_read_changes_the_decoded_settings_and_others_do_not() {
    let before = settings();
    let decode = |settings: &Value| decode_settings(&Pairs::from_json(settings)).ok();
    let mut pointers = Vec::new();
    collect_pointers(&before, "", &mut pointers);
    for pointer in pointers {
        let path = pointer[1..].replace('/', ".");
        let mut after = before.clone();
        let value = after.pointer_mut(&pointer).unwrap();
        *value = other_value(value);
        let changed = decode(&after) != decode(&before);
        // Bounds matter only for classes that have one. Only the longest of all deadlines is decoded, so that
        // changing a shorter one has no effect.
        let not_longest = ["Lanes.0.Deadline"].contains(&path.as_str());
        let decoded = !matches!(Key::find(&path).unwrap().usage, Usage::Unread(_));
        assert_eq!(changed, decoded && !not_longest, "{path}");
    }
}

#[test]
fn overridden_settings_have_no_effect() {
    for (path, _) in OVERRIDDEN {
        let before = settings();
        let mut after = before.clone();
        let value = after.pointer_mut(&format!("/{}", path.replace('.', "/"))).unwrap();
        *value = other_value(value);
        let [before, after] = [before, after].map(|settings| Config::decode(&config(&settings)).unwrap());
        assert_eq!(before.settings, after.settings, "{path}");
        assert_eq!(before.host, after.host, "{path}");
    }
}

#[test]
fn ineffective_settings_include_overridden_and_unread_ones() {
    let mut example = settings();
    example["Rules"]["Wind"] = 3.into();
    let IneffectiveSettings { unused, unknown } = IneffectiveSettings::find_in(&config(&example)).unwrap();
    assert_eq!(unknown, ["Rules.Wind"]);
    let paths: Vec<&str> = unused.iter().map(|setting| setting.path.as_str()).collect();
    let not_read = KEYS.iter().filter(|key| key.usage != Usage::Read).map(|key| key.path);
    let mut expected: Vec<&str> =
        not_read.chain(OVERRIDDEN.map(|(path, _)| path)).chain(["Report.Fields util"]).collect();
    expected.sort_unstable();
    assert_eq!(paths, expected);
}
