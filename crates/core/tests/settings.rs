//! The schema of the settings, and the report of settings that have no effect.

use linnetdeal_core::settings::Pairs;
use linnetdeal_core::settings::schema::{KEYS, Key, Usage};

#[test]
fn keys_of_the_schema_are_found_by_path() {
    for path in ["Lanes.count", "Lanes.0.Name", "Lanes.17.Name", "Tenants", "Zone"] {
        assert!(Key::find(path).is_some(), "{path}");
    }
    for path in ["Lanes.x.Name", "Lanes.Name", "Lanes.0", "Lanes.0.Name.More", "Zone.count", "zone", ""] {
        assert_eq!(Key::find(path), None, "{path}");
    }
}

#[test]
fn keys_are_unique_and_each_reason_is_one_line() {
    for (index, key) in KEYS.iter().enumerate() {
        assert!(KEYS[..index].iter().all(|other| other.path != key.path), "{}", key.path);
        if let Usage::Decoded(why) | Usage::Unread(why) = key.usage {
            assert!(!why.is_empty() && !why.contains('\n'), "{}", key.path);
        }
    }
}

#[test]
fn unknown_and_unused_settings_are_each_reported_once() {
    let parts = "Zone=east Lanes.0.Stream=false Lanes.1.Stream=false Lanes.0.Colour=red Rules.Fall=3000 \
                 Rules.Wind=1 Report.Fields=x0,queue,x1 no-pair";
    let pairs = Pairs::from_parts(parts.split(' '));
    assert_eq!(pairs.unknown(), ["Lanes.0.Colour", "Rules.Wind"]);
    let unused: Vec<String> = pairs.unused().into_iter().map(|setting| setting.path).collect();
    assert_eq!(unused, ["Lanes.*.Stream", "Report.Fields queue", "Rules.Fall"]);
}

#[test]
fn requested_keys_are_recorded_whether_present_or_not() {
    let pairs = Pairs::from_parts("Rank=3".split(' '));
    assert_eq!(pairs.requested().len(), 0);
    assert_eq!(pairs.number_or("Rank", 0.0), Ok(3.0));
    assert_eq!(pairs.number_or("Costs.Peer", 0.5), Ok(0.5));
    assert_eq!(pairs.text("Zone"), Err("setting Zone is missing".to_owned()));
    assert_eq!(pairs.requested().into_iter().collect::<Vec<_>>(), ["Costs.Peer", "Rank", "Zone"]);
}
