//! Bodies as registries write them, cut anywhere; and bodies that are none.

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

const ONE: &str = r#"{"instanceId":"s-1","app":"DB","ipAddr":"10.1.0.4","hostName":"h","status":"UP",
 "overriddenstatus":"UNKNOWN","port":{"$":6543,"@enabled":"true"},"securePort":{"$":"443","@enabled":"false"},
 "leaseInfo":{"registrationTimestamp":17},"metadata":{"group":"2","role":"primary","note":"}]{[\" \\"},
 "lastUpdatedTimestamp":"1767225600124","lastDirtyTimestamp":"1767225600123","actionType":"ADDED","nested":{"instance":[{}]}}"#;
const OTHER: &str = r#"{"instanceId":"s-2","app":"db","ipAddr":"10.1.0.5","status":"OUT_OF_SERVICE","port":6544,
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
        {{"name":"DB","instance":[{ONE},{OTHER}]}},{{"name":"EMPTY","instance":[]}}]}}}}"#
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

fn read(format: Format, text: &[u8], cuts: &[usize]) -> Result<(ListUpdate, Mirror), BodyError> {
    let (mapping, mut mirror) = (mapping(), Mirror::default());
    let mut reader =
        ListReader::new(&mapping, mirror.empty_with_same_hasher(), 0, FetchKind::Full, format, 8 << 20);
    let mut from = 0;
    for cut in cuts.iter().copied().chain([text.len()]) {
        let to = cut.clamp(from, text.len());
        reader.push(&text[from..to])?;
        from = to;
    }
    let read = reader.finish(&mut mirror)?;
    Ok((read, mirror))
}

fn check(format: Format, text: &[u8], cuts: &[usize]) {
    let (read, mirror) = read(format, text, cuts).unwrap();
    assert_eq!(read.hash_code.as_deref(), Some("OUT_OF_SERVICE_1_UP_1_"));
    assert_eq!(mirror.hash_code(), "OUT_OF_SERVICE_1_UP_1_");
    let SourceUpdate::Full { claims, view } = read.source_update else { panic!("a whole list") };
    assert_eq!((view, read.instances, read.refused), (2 * 1_767_225_600_200 + 1, 2, 0));
    let one = &claims[0];
    assert_eq!((&*one.member.0, one.state, one.primary), ("s-1", ListState::Healthy, true));
    assert_eq!((one.address.unwrap().to_string(), one.group.unwrap().0), ("10.1.0.4:6543".to_owned(), 2));
    assert_eq!((one.zone.as_str(), one.version.stamp), ("adum", 2 * 1_767_225_600_123 + 1));
    assert_eq!((claims[1].state, claims[1].group.unwrap().0), (ListState::Draining, 7));
}

#[test]
fn a_body_reads_the_same_wherever_it_is_cut() {
    let json = json();
    for cut in 0..json.len() {
        check(Format::Json, json.as_bytes(), &[cut]);
    }
    for cut in 0..XML.len() {
        check(Format::Xml, XML.as_bytes(), &[cut]);
    }
    let each: Vec<usize> = (0..json.len()).collect();
    check(Format::Json, json.as_bytes(), &each);
    check(Format::Xml, XML.as_bytes(), &(0..XML.len()).collect::<Vec<_>>());
}

#[test]
fn a_body_that_ends_early_counts_for_nothing() {
    let json = json();
    for end in 0..json.len() {
        assert!(read(Format::Json, &json.as_bytes()[..end], &[]).is_err(), "{end} bytes");
    }
    for end in 0..XML.trim_end().len() {
        assert!(read(Format::Xml, &XML.as_bytes()[..end], &[]).is_err(), "{end} bytes");
    }
}

#[test]
fn one_instance_may_be_an_object_and_applications_too() {
    let body = format!(
        r#"{{"applications":{{"apps__hashcode":"UP_1_","application":{{"name":"DB","instance":{ONE}}}}}}}"#
    );
    assert_eq!(read(Format::Json, body.as_bytes(), &[]).unwrap().0.instances, 1);
    let body = format!(r#"{{"application":{{"name":"DB","instance":[{ONE},{OTHER}]}}}}"#);
    assert_eq!(read(Format::Json, body.as_bytes(), &[]).unwrap().0.instances, 2, "of one application");
    assert_eq!(
        read(Format::Json, format!(r#"{{"instance":{ONE}}}"#).as_bytes(), &[]).unwrap().0.instances,
        1
    );
}

#[test]
fn what_is_no_list_is_told_apart_by_its_byte() {
    let form = |format, text: &str| match read(format, text.as_bytes(), &[]) {
        Err(BodyError::Syntax { offset, what }) => (offset, what),
        other => panic!("{text:?}: {other:?}"),
    };
    assert_eq!(form(Format::Json, "<html>"), (0, "invalid JSON"));
    assert_eq!(form(Format::Json, "{\"a\":1}}"), (7, "something behind the end"));
    assert_eq!(form(Format::Json, "{\"a\":1]"), (6, "a bracket that closes nothing"));
    assert_eq!(form(Format::Json, &"[".repeat(10_000)), (48, "nested too deeply"));
    assert_eq!(
        form(Format::Json, &format!("{{\"instance\":{{\"a\":{}", "[".repeat(10_000))).1,
        "nested too deeply"
    );
    assert_eq!(form(Format::Xml, "{}"), (0, "invalid XML"));
    assert_eq!(form(Format::Xml, "<a></b>"), (6, "a tag that closes another"));
    assert_eq!(form(Format::Xml, "<!DOCTYPE a [<!ENTITY b \"c\">]>").1, "a document type, which is not read");
    assert_eq!(form(Format::Xml, &"<a>".repeat(10_000)).1, "nested too deeply");
    let long = format!("{{\"instance\":{{\"a\":\"{}", "x".repeat(300_000));
    assert_eq!(form(Format::Json, &long).1, "an instance that is too long");
    let mut body = BodyScanner::new(Format::Json, 100);
    assert_eq!(body.push(&[b' '; 101], &mut |_| Ok(())), Err(BodyError::TooLarge(100)));
}

#[test]
fn a_body_of_very_many_very_small_instances_is_given_up() {
    let many = "{\"instanceId\":\"1\"},".repeat(50_001);
    let body = format!("{{\"instance\":[{}]}}", many.trim_end_matches(','));
    match read(Format::Json, body.as_bytes(), &[]) {
        Err(BodyError::InvalidItem(words)) => assert_eq!(words, "more than 50000 instances"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_delta_is_added_to_what_was_there_only_at_its_end() {
    let (mapping, mut mirror) = (mapping(), Mirror::default());
    let mut take = |ask, text: &str, end: bool| {
        let mut reader =
            ListReader::new(&mapping, mirror.empty_with_same_hasher(), 0, ask, Format::Json, 1 << 20);
        reader.push(text.as_bytes()).unwrap();
        if end {
            reader.finish(&mut mirror).unwrap();
        }
        mirror.hash_code()
    };
    assert_eq!(take(FetchKind::Full, &json(), true), "OUT_OF_SERVICE_1_UP_1_");
    let gone = ONE.replace("ADDED", "DELETED");
    let other = OTHER.replace("OUT_OF_SERVICE", "UP").replace("\"db\"", "\"DB\"");
    let delta = format!("{{\"application\":{{\"instance\":[{gone},{other}]}}}}");
    assert_eq!(take(FetchKind::Delta, &delta[..delta.len() - 3], false), "OUT_OF_SERVICE_1_UP_1_");
    assert_eq!(take(FetchKind::Delta, &delta, true), "UP_1_", "one left, the other is the same box");
    assert_eq!(take(FetchKind::Delta, &delta, true), "UP_1_", "and twice changes nothing");
}

#[test]
fn one_unreadable_instance_spoils_itself_and_what_is_missing() {
    let bad = ONE.replace("1767225600123", "soon").replace("s-1", "s-9");
    let body = format!(r#"{{"applications":{{"application":{{"instance":[{bad},{OTHER}]}}}}}}"#);
    let (read, _) = read(Format::Json, body.as_bytes(), &[]).unwrap();
    assert_eq!((read.instances, read.unreadable), (2, 1));
    assert_eq!(read.problems, ["instance 's-9': lastDirtyTimestamp is 'soon'"]);
    // Nobody counts as missing from it: the one that could not be read may be anybody.
    assert!(matches!(read.source_update, SourceUpdate::Full { claims, view: i64::MIN } if claims.len() == 1));
}

#[test]
fn who_lies_elsewhere_is_named_but_gets_nothing() {
    let outside = ONE.replace("10.1.0.4", "10.2.0.4");
    let body = format!(r#"{{"application":{{"instance":[{outside}]}}}}"#);
    let (read, _) = read(Format::Json, body.as_bytes(), &[]).unwrap();
    assert_eq!((read.refused, read.outside), (1, 1));
    let SourceUpdate::Full { claims, .. } = read.source_update else { panic!("a whole list") };
    assert_eq!((claims[0].state, claims[0].address), (ListState::Draining, None));
    let instance = |text: &str| Instance::from_json(text.as_bytes()).unwrap();
    let refused = |text: &str| mapping().claim(&instance(text), 0).unwrap_err();
    assert_eq!(refused(&ONE.replace("\"DB\"", "\"WEB\"")), MappingError::OtherApplication);
    assert_eq!(
        refused(&ONE.replace("10.1.0.4", "box.example")),
        MappingError::InvalidAddress("box.example:Some(6543)".into())
    );
    assert_eq!(refused(&ONE.replace("\"2\"", "\"two\"")), MappingError::InvalidGroup("two".into()));
    assert_eq!(
        refused(&ONE.replace("\"$\":6543,\"@enabled\":\"true\"", "\"$\":6543,\"@enabled\":\"false\"")),
        MappingError::InvalidAddress("10.1.0.4:None".into())
    );
    assert_eq!(
        refused(&ONE.replace("10.1.0.4", "::ffff:10.2.0.4")),
        MappingError::OutsideNetworks("10.2.0.4".parse().unwrap())
    );
}

#[test]
fn a_registration_that_starts_comes_before_the_same_in_service() {
    let stamp = |status: &str| {
        let instance =
            Instance::from_json(ONE.replace("\"UP\"", &format!("\"{status}\"")).as_bytes()).unwrap();
        mapping().claim(&instance, 0).unwrap().version.stamp
    };
    assert!(stamp("STARTING") < stamp("UP") && stamp("UP") == stamp("DOWN"));
    assert_eq!(Status::from_name("whatever"), Status::Unknown);
}

#[test]
fn the_smallest_network_names_the_zone() {
    let mut networks = Networks::default();
    assert!(networks.add("10.0.0.0/8".parse().unwrap(), None));
    assert!(networks.add("10.1.0.0/16".parse().unwrap(), Some("adum".into())));
    assert!(!networks.add("10.1.0.0/16".parse().unwrap(), None), "twice");
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
    fn no_bytes_make_it_panic(at in 0..1_400_usize, junk in prop::collection::vec(any::<u8>(), 0..6), xml in any::<bool>(), cut in 0..1_400_usize) {
        let (format, text) = if xml { (Format::Xml, XML.to_owned()) } else { (Format::Json, json()) };
        let mut bytes = text.into_bytes();
        let at = at.min(bytes.len());
        bytes.splice(at..(at + junk.len() / 2).min(bytes.len()), junk);
        let whole = read(format, &bytes, &[]).map(|(read, _)| read.instances);
        let parts = read(format, &bytes, &[cut]).map(|(read, _)| read.instances);
        prop_assert_eq!(whole.is_ok(), parts.is_ok(), "the same however it is cut");
        prop_assert_eq!(whole.ok(), parts.ok());
    }
}
