//! Parsing of response bodies in JSON and XML, split at any byte, and of invalid ones.

use linnetdeal_core::ListState;
use linnetdeal_core::membership::SourceUpdate;
use linnetdeal_registry::eureka::body::{BodyError, BodyScanner, Format};
use linnetdeal_registry::eureka::list_reader::{ListReader, ListUpdate};
use linnetdeal_registry::eureka::mapping::{Mapping, MappingError, Networks};
use linnetdeal_registry::eureka::mirror::Mirror;
use linnetdeal_registry::eureka::model::{Instance, Status};
use linnetdeal_registry::eureka::poller::FetchKind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PRIMARY_JSON: &str = r#"{"instanceId":"s-1","app":"DB","ipAddr":"10.1.0.4","hostName":"h","status":"UP",
 "overriddenstatus":"UNKNOWN","port":{"$":6543,"@enabled":"true"},"securePort":{"$":"443","@enabled":"false"},
 "leaseInfo":{"registrationTimestamp":17},"metadata":{"group":"2","role":"primary","note":"}]{[\" \\"},
 "lastUpdatedTimestamp":"1767225600124","lastDirtyTimestamp":"1767225600123","actionType":"ADDED","nested":{"instance":[{}]}}"#;
const DRAINING_JSON: &str = r#"{"instanceId":"s-2","app":"db","ipAddr":"10.1.0.5","status":"OUT_OF_SERVICE","port":6544,
 "metadata":{"@class":"java.util.Collections$EmptyMap"},"lastDirtyTimestamp":1767225600200}"#;
const XML: &str = r#"<?xml version="1.0"?><!-- <instance> in a comment --><applications><versions__delta>1</versions__delta>
<apps__hashcode>OUT_OF_SERVICE_1_UP_1_</apps__hashcode><application><name>DB</name>
<instance><instanceId>s-1</instanceId><app>DB</app><ipAddr>10.1.0.4</ipAddr><status>UP</status>
<port enabled="true">6543</port><securePort enabled="false">443</securePort>
<leaseInfo><registrationTimestamp>17</registrationTimestamp></leaseInfo>
<metadata><group>2</group><role>primary</role><note><![CDATA[</instance> > <]]></note></metadata>
<lastUpdatedTimestamp>1767225600124</lastUpdatedTimestamp><lastDirtyTimestamp>1767225600123</lastDirtyTimestamp>
<actionType>ADDED</actionType></instance>
<instance><instanceId>s-2</instanceId><app>DB</app><ipAddr>10.1.0.5</ipAddr><status>OUT_OF_SERVICE</status>
<port enabled="true">6544</port><metadata class="java.util.Collections$EmptyMap"/>
<lastDirtyTimestamp>1767225600200</lastDirtyTimestamp></instance></application></applications>
"#;

fn json() -> String {
    format!(
        r#"{{"applications":{{"versions__delta":"1","apps__hashcode":"OUT_OF_SERVICE_1_UP_1_","application":[
        {{"name":"DB","instance":[{PRIMARY_JSON},{DRAINING_JSON}]}},{{"name":"EMPTY","instance":[]}}]}}}}"#
    )
}

fn mapping() -> Mapping {
    let mut networks = Networks::default();
    networks.add("10.1.0.0/16".parse().unwrap(), Some("adum".into()));
    Mapping {
        apps: ["DB".to_owned()].into(),
        networks,
        group_key: "group".into(),
        default_group: Some(7),
        zone_key: "zone".into(),
        role_key: "role".into(),
        primary_value: "primary".into(),
        started_key: "startedAtMs".into(),
        ..Mapping::default()
    }
}

fn parse_list(format: Format, text: &[u8], splits: &[usize]) -> Result<(ListUpdate, Mirror), BodyError> {
    let (mapping, mut mirror) = (mapping(), Mirror::default());
    let mut reader =
        ListReader::new(&mapping, mirror.empty_with_same_hasher(), 0, FetchKind::Full, format, 8 << 20);
    let mut from = 0;
    for split in splits.iter().copied().chain([text.len()]) {
        let to = split.clamp(from, text.len());
        reader.push(&text[from..to])?;
        from = to;
    }
    let update = reader.finish(&mut mirror)?;
    Ok((update, mirror))
}

fn assert_parsed(format: Format, text: &[u8], splits: &[usize]) {
    let (update, mirror) = parse_list(format, text, splits).unwrap();
    assert_eq!(update.hash_code.as_deref(), Some("OUT_OF_SERVICE_1_UP_1_"));
    assert_eq!(mirror.hash_code(), "OUT_OF_SERVICE_1_UP_1_");
    let SourceUpdate::Full { claims, view } = update.source_update else { panic!("not a full list") };
    assert_eq!((view, update.instances, update.refused), (2 * 1_767_225_600_200 + 1, 2, 0));
    let first = &claims[0];
    assert_eq!((&*first.member.0, first.state, first.primary), ("s-1", ListState::Healthy, true));
    assert_eq!((first.address.unwrap().to_string(), first.group.unwrap().0), ("10.1.0.4:6543".to_owned(), 2));
    assert_eq!((first.zone.as_str(), first.version.stamp), ("adum", 2 * 1_767_225_600_123 + 1));
    assert_eq!((claims[1].state, claims[1].group.unwrap().0), (ListState::Draining, 7));
}

#[test]
fn a_body_parses_the_same_however_it_is_split() {
    let json = json();
    for split in 0..json.len() {
        assert_parsed(Format::Json, json.as_bytes(), &[split]);
    }
    for split in 0..XML.len() {
        assert_parsed(Format::Xml, XML.as_bytes(), &[split]);
    }
    let every_byte: Vec<usize> = (0..json.len()).collect();
    assert_parsed(Format::Json, json.as_bytes(), &every_byte);
    assert_parsed(Format::Xml, XML.as_bytes(), &(0..XML.len()).collect::<Vec<_>>());
}

#[test]
fn a_truncated_body_is_an_error() {
    let json = json();
    for end in 0..json.len() {
        assert!(parse_list(Format::Json, &json.as_bytes()[..end], &[]).is_err(), "{end} bytes");
    }
    for end in 0..XML.trim_end().len() {
        assert!(parse_list(Format::Xml, &XML.as_bytes()[..end], &[]).is_err(), "{end} bytes");
    }
}

#[test]
fn lists_of_one_may_be_plain_objects() {
    let body = format!(
        r#"{{"applications":{{"apps__hashcode":"UP_1_","application":{{"name":"DB","instance":{PRIMARY_JSON}}}}}}}"#
    );
    assert_eq!(parse_list(Format::Json, body.as_bytes(), &[]).unwrap().0.instances, 1);
    let body = format!(r#"{{"application":{{"name":"DB","instance":[{PRIMARY_JSON},{DRAINING_JSON}]}}}}"#);
    assert_eq!(
        parse_list(Format::Json, body.as_bytes(), &[]).unwrap().0.instances,
        2,
        "an application without the outer object"
    );
    assert_eq!(
        parse_list(Format::Json, format!(r#"{{"instance":{PRIMARY_JSON}}}"#).as_bytes(), &[])
            .unwrap()
            .0
            .instances,
        1
    );
}

#[test]
fn syntax_errors_report_their_offset() {
    let syntax_error = |format, text: &str| match parse_list(format, text.as_bytes(), &[]) {
        Err(BodyError::Syntax { offset, what }) => (offset, what),
        other => panic!("{text:?}: {other:?}"),
    };
    assert_eq!(syntax_error(Format::Json, "<html>"), (0, "invalid JSON"));
    assert_eq!(syntax_error(Format::Json, "{\"a\":1}}"), (7, "something behind the end"));
    assert_eq!(syntax_error(Format::Json, "{\"a\":1]"), (6, "a bracket that closes nothing"));
    assert_eq!(syntax_error(Format::Json, &"[".repeat(10_000)), (48, "nested too deeply"));
    assert_eq!(
        syntax_error(Format::Json, &format!("{{\"instance\":{{\"a\":{}", "[".repeat(10_000))).1,
        "nested too deeply"
    );
    assert_eq!(syntax_error(Format::Xml, "{}"), (0, "invalid XML"));
    assert_eq!(syntax_error(Format::Xml, "<a></b>"), (6, "a tag that closes another"));
    assert_eq!(
        syntax_error(Format::Xml, "<!DOCTYPE a [<!ENTITY b \"c\">]>").1,
        "a document type, which is not read"
    );
    assert_eq!(syntax_error(Format::Xml, &"<a>".repeat(10_000)).1, "nested too deeply");
    let long = format!("{{\"instance\":{{\"a\":\"{}", "x".repeat(300_000));
    assert_eq!(syntax_error(Format::Json, &long).1, "an instance that is too long");
    let mut body = BodyScanner::new(Format::Json, 100);
    assert_eq!(body.push(&[b' '; 101], &mut |_| Ok(())), Err(BodyError::TooLarge(100)));
}

#[test]
fn a_body_with_too_many_instances_is_an_error() {
    let many = "{\"instanceId\":\"1\"},".repeat(50_001);
    let body = format!("{{\"instance\":[{}]}}", many.trim_end_matches(','));
    match parse_list(Format::Json, body.as_bytes(), &[]) {
        Err(BodyError::InvalidItem(message)) => assert_eq!(message, "more than 50000 instances"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_delta_takes_effect_only_when_it_is_complete() {
    let (mapping, mut mirror) = (mapping(), Mirror::default());
    let mut read_body = |kind, text: &str, is_complete: bool| {
        let mut reader =
            ListReader::new(&mapping, mirror.empty_with_same_hasher(), 0, kind, Format::Json, 1 << 20);
        reader.push(text.as_bytes()).unwrap();
        if is_complete {
            reader.finish(&mut mirror).unwrap();
        }
        mirror.hash_code()
    };
    assert_eq!(read_body(FetchKind::Full, &json(), true), "OUT_OF_SERVICE_1_UP_1_");
    let deleted = PRIMARY_JSON.replace("ADDED", "DELETED");
    let other = DRAINING_JSON.replace("OUT_OF_SERVICE", "UP").replace("\"db\"", "\"DB\"");
    let delta = format!("{{\"application\":{{\"instance\":[{deleted},{other}]}}}}");
    assert_eq!(read_body(FetchKind::Delta, &delta[..delta.len() - 3], false), "OUT_OF_SERVICE_1_UP_1_");
    assert_eq!(
        read_body(FetchKind::Delta, &delta, true),
        "UP_1_",
        "one was deleted, the other is the same instance"
    );
    assert_eq!(read_body(FetchKind::Delta, &delta, true), "UP_1_", "applying it twice changes nothing");
}

#[test]
fn an_unreadable_instance_keeps_others_from_counting_as_missing() {
    let invalid = PRIMARY_JSON.replace("1767225600123", "soon").replace("s-1", "s-9");
    let body = format!(r#"{{"applications":{{"application":{{"instance":[{invalid},{DRAINING_JSON}]}}}}}}"#);
    let (update, _) = parse_list(Format::Json, body.as_bytes(), &[]).unwrap();
    assert_eq!((update.instances, update.unreadable), (2, 1));
    assert_eq!(update.problems, ["instance 's-9': lastDirtyTimestamp is 'soon'"]);
    // No member may count as missing from this list, because the unreadable instance could be any of them.
    assert!(
        matches!(update.source_update, SourceUpdate::Full { claims, view: i64::MIN } if claims.len() == 1)
    );
}

#[test]
fn an_instance_that_cannot_be_a_member_is_listed_without_an_address() {
    let outside = PRIMARY_JSON.replace("10.1.0.4", "10.2.0.4");
    let body = format!(r#"{{"application":{{"instance":[{outside}]}}}}"#);
    let (update, _) = parse_list(Format::Json, body.as_bytes(), &[]).unwrap();
    assert_eq!((update.refused, update.outside), (1, 1));
    let SourceUpdate::Full { claims, .. } = update.source_update else { panic!("not a full list") };
    assert_eq!((claims[0].state, claims[0].address), (ListState::Draining, None));
    let instance = |text: &str| Instance::from_json(text.as_bytes()).unwrap();
    let mapping_error = |text: &str| mapping().claim(&instance(text), 0).unwrap_err();
    assert_eq!(mapping_error(&PRIMARY_JSON.replace("\"DB\"", "\"WEB\"")), MappingError::OtherApplication);
    assert_eq!(
        mapping_error(&PRIMARY_JSON.replace("10.1.0.4", "box.example")),
        MappingError::InvalidAddress("box.example:Some(6543)".into())
    );
    assert_eq!(
        mapping_error(&PRIMARY_JSON.replace("\"2\"", "\"two\"")),
        MappingError::InvalidGroup("two".into())
    );
    assert_eq!(
        mapping_error(
            &PRIMARY_JSON.replace("\"$\":6543,\"@enabled\":\"true\"", "\"$\":6543,\"@enabled\":\"false\"")
        ),
        MappingError::InvalidAddress("10.1.0.4:None".into())
    );
    assert_eq!(
        mapping_error(&PRIMARY_JSON.replace("10.1.0.4", "::ffff:10.2.0.4")),
        MappingError::OutsideNetworks("10.2.0.4".parse().unwrap())
    );
}

#[test]
fn a_starting_registration_is_ordered_before_the_same_in_service() {
    let stamp = |status: &str| {
        let instance =
            Instance::from_json(PRIMARY_JSON.replace("\"UP\"", &format!("\"{status}\"")).as_bytes()).unwrap();
        mapping().claim(&instance, 0).unwrap().version.stamp
    };
    assert!(stamp("STARTING") < stamp("UP") && stamp("UP") == stamp("DOWN"));
    assert_eq!(Status::from_name("whatever"), Status::Unknown);
}

#[test]
fn the_smallest_network_determines_the_zone() {
    let mut networks = Networks::default();
    assert!(networks.add("10.0.0.0/8".parse().unwrap(), None));
    assert!(networks.add("10.1.0.0/16".parse().unwrap(), Some("adum".into())));
    assert!(!networks.add("10.1.0.0/16".parse().unwrap(), None), "added before");
    assert!(networks.add("fd00::/8".parse().unwrap(), Some("suame".into())));
    let zone = |text: &str| networks.zone(text.parse().unwrap());
    assert_eq!(zone("10.1.2.3"), Some(Some("adum".into())));
    assert_eq!(zone("10.2.2.3"), Some(None));
    assert_eq!(zone("fd00::1"), Some(Some("suame".into())));
    assert_eq!((zone("11.0.0.1"), zone("fe80::1")), (None, None));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn corrupted_bodies_parse_the_same_however_they_are_split(position in 0..1_400_usize, junk in prop::collection::vec(any::<u8>(), 0..6), xml in any::<bool>(), split in 0..1_400_usize) {
        let (format, text) = if xml { (Format::Xml, XML.to_owned()) } else { (Format::Json, json()) };
        let mut bytes = text.into_bytes();
        let position = position.min(bytes.len());
        bytes.splice(position..(position + junk.len() / 2).min(bytes.len()), junk);
        let whole = parse_list(format, &bytes, &[]).map(|(update, _)| update.instances);
        let parts = parse_list(format, &bytes, &[split]).map(|(update, _)| update.instances);
        prop_assert_eq!(whole.is_ok(), parts.is_ok(), "the result must not depend on the split");
        prop_assert_eq!(whole.ok(), parts.ok());
    }
}
