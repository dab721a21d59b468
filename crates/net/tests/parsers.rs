//! The parsers on arbitrary input: no panic, and no message before its last byte has arrived. Also files that
//! processes share, inherited sockets and invalid configurations.

use linnetdeal_core::Field;
use linnetdeal_net::{http, pg};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_make_no_parser_panic(data in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Some(message)) = pg::message(&data) {
            prop_assert!(message.size <= data.len() && message.body.len() == message.size - 5);
        }
        let _ = (pg::startup(&data), pg::query_text(&data), pg::error_fields(&data));
        let _ = (pg::parameter(&data), pg::row_value(&data), http::head(&data), http::chunk(&data));
        if let Ok(Some(message)) = pg::server_message(&data) {
            let _ = pg::Answer::default().take(&message);
        }
        let text = String::from_utf8_lossy(&data);
        let _ = (pg::parse_statement(&text), pg::quoted_key(&text), pg::load_report(&text, &[]));
    }

    #[test]
    fn an_incomplete_message_is_waited_for(body in prop::collection::vec(any::<u8>(), 0..100), tag: u8, cut in 0.0..1.0) {
        let mut data = vec![tag];
        data.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        data.extend_from_slice(&body);
        let at = (data.len() as f64 * cut) as usize;
        prop_assert_eq!(pg::message(&data[..at]), Ok(None));
        prop_assert_eq!(pg::message(&data), Ok(Some(pg::Message { tag, body: &body, size: data.len() })));
    }

    #[test]
    fn an_answer_is_one_value_or_one_error(tags in "[TDCESNZ]{1,7}") {
        let column = [&b"\0\x01content\0"[..], &[0; 18]].concat();
        let body = |tag: char| match tag {
            'T' => column.clone(),
            'D' => b"\0\x01\0\0\0\x02ab".to_vec(),
            'C' => b"SELECT 1\0".to_vec(),
            'E' => b"SERROR\0C53300\0\0".to_vec(),
            'S' => b"part\0replica\0".to_vec(),
            'N' => b"\0".to_vec(),
            _ => b"I".to_vec(),
        };
        let mut answer = pg::Answer::default();
        let mut passed = 0;
        let parts = tags.chars().map(|tag| {
            let body = body(tag);
            let part = answer.take(&pg::Message { tag: tag as u8, body: &body, size: 5 + body.len() });
            passed += usize::from(matches!(part, Ok(pg::AnswerPart::Value(_))));
            part
        });
        // Up to the message that invalidates or ends the answer.
        let ended = parts.take_while(Result::is_ok).map(Result::unwrap).find(|part| *part == pg::AnswerPart::Ready);
        let relevant: String = tags.chars().filter(|tag| !"SN".contains(*tag)).collect();
        let valid = relevant.starts_with("TDCZ") || relevant.starts_with("EZ");
        prop_assert_eq!(ended.is_some(), valid, "{}", tags);
        if valid {
            prop_assert_eq!((passed, answer.error_code().is_none()), if relevant.starts_with('T') { (3, true) } else { (0, false) });
        }
    }

    #[test]
    fn an_invalid_load_report_is_ignored(gauges in "(x0=(1767225600.5|inf|1e99|-1|)|x1=(0|1|2|nan)|x2=1|noise){1}(,(x1=(0|1|7)|x0=5))?") {
        let fields = [("x0".to_owned(), Field::Position), ("x1".to_owned(), Field::Primary)];
        let valid = ["x0=1767225600.5,x1=0", "x0=1767225600.5,x1=1", "x1=0,x0=5", "x1=1,x0=5"];
        prop_assert_eq!(pg::load_report(&gauges, &fields).is_some(), valid.contains(&gauges.as_str()), "{}", gauges);
    }

    #[test]
    fn a_request_comment_has_the_position_of_its_timeout(timeout_ms in 0_u32..100_000, key in "[a-z'é/*]{0,12}") {
        let key = key.replace('\'', "''");
        let statement = format!("SELECT content FROM kv WHERE name = '{key}' /* id=9b, c=menu,d={timeout_ms}, cluster=2 */");
        let Ok(pg::StatementKind::Request(comment)) = pg::parse_statement(&statement) else { panic!("{statement}") };
        prop_assert_eq!(&statement[comment.timeout_range.clone()], timeout_ms.to_string());
        prop_assert_eq!((comment.class, comment.group, comment.last_commit_ms), ("menu", 2, None));
        prop_assert_eq!(pg::quoted_key(&statement), Some(key.as_str()));
    }
}

#[test]
fn a_request_comment_has_the_tenant_and_the_retry_mark() {
    let parse = |more: &str| match pg::parse_statement(&format!("SELECT 1 /* id=9b,c=menu{more},d=480 */")) {
        Ok(pg::StatementKind::Request(comment)) => (comment.tenant.map(str::to_owned), comment.retry),
        other => panic!("{other:?}"),
    };
    assert_eq!(parse(""), (None, false));
    assert_eq!(parse(", t = acme & sons ,r=1"), (Some("acme & sons".to_owned()), true));
    assert_eq!(parse(",r=0,t="), (Some(String::new()), false));
}

#[test]
fn two_processes_share_the_operator_drains_and_which_process_is_the_newest() {
    use linnetdeal_core::MemberId;
    use linnetdeal_core::hot_restart::DrainChanges;
    use linnetdeal_net::hot_restart::SharedState;
    let folder = std::env::temp_dir().join(format!("linnetdeal-shared-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let ids = ["s-1", "s \"2\"\n/..", "\u{1f426}"].map(|id| MemberId(id.into()));
    let (older, newer) = (SharedState::open(&folder).unwrap(), SharedState::open(&folder).unwrap());
    older.register_as_newest().unwrap();
    assert!(!older.is_superseded());
    ids.iter().for_each(|id| older.set_operator_drain(id, true).unwrap());
    let mut changes = newer.poll_operator_drains().unwrap().0;
    changes.out.sort();
    assert_eq!(
        changes,
        DrainChanges {
            out: {
                let mut all = ids.to_vec();
                all.sort();
                all
            },
            back: vec![]
        }
    );
    // Either process can end a drain for both; repeating a call changes nothing.
    newer.set_operator_drain(&ids[0], false).unwrap();
    newer.set_operator_drain(&ids[0], false).unwrap();
    assert_eq!(
        older.poll_operator_drains().unwrap().0,
        DrainChanges { out: vec![], back: vec![ids[0].clone()] }
    );
    assert_eq!(
        newer.poll_operator_drains().unwrap().0,
        DrainChanges::default(),
        "a process does not see its own calls as changes"
    );
    newer.register_as_newest().unwrap();
    assert!(older.is_superseded() && !newer.is_superseded());
    // Unknown files are counted and ignored, and end no drain.
    for unknown in ["zz", "7", "ff", "s-1"] {
        std::fs::write(folder.join("linnetdeal.out").join(unknown), "x").unwrap();
    }
    assert_eq!(older.poll_operator_drains().unwrap(), (DrainChanges::default(), 4));
    // Too many files are an error, and so is a missing folder; neither ends a drain.
    (0..10_200)
        .for_each(|at| std::fs::write(folder.join("linnetdeal.out").join(format!("z{at}")), "").unwrap());
    assert!(older.poll_operator_drains().is_err());
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        older.poll_operator_drains().is_err()
            && older.set_operator_drain(&ids[0], true).is_err()
            && !older.is_superseded()
    );
}

#[test]
fn processes_see_whether_another_one_lives_and_keep_only_the_newest_record() {
    use linnetdeal_net::hot_restart::SharedState;
    let folder = std::env::temp_dir().join(format!("linnetdeal-alive-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let older = SharedState::open(&folder).unwrap();
    assert!(!older.is_alone(), "without a lock of its own a process can't tell");
    older.register_as_newest().unwrap();
    assert!(older.is_alone() && !older.has_other_process());
    older.write_work((7, 1), b"one").unwrap();
    let newer = SharedState::open(&folder).unwrap();
    newer.register_as_newest().unwrap();
    assert!(
        !older.is_alone() && newer.has_other_process() && older.is_superseded() && !older.successor_is_dead()
    );
    assert_eq!(newer.read_work().as_deref(), Some(&b"one"[..]));
    newer.write_work((7, 2), b"two").unwrap();
    older.write_work((6, 9), b"old").unwrap();
    assert_eq!(
        older.read_work().as_deref(),
        Some(&b"two"[..]),
        "the newest record counts, whichever process wrote last"
    );
    // A process that ends in any way counts as gone, and the files of many ended ones are removed.
    drop(newer);
    assert!(older.successor_is_dead() && older.is_alone() && !older.is_superseded());
    for start in 0..20 {
        let next = SharedState::open(&folder).unwrap();
        next.register_as_newest().unwrap();
        next.write_work((8, start), b"next").unwrap();
    }
    let files = std::fs::read_dir(&folder).unwrap().flatten();
    let names: Vec<String> = files.map(|file| file.file_name().to_string_lossy().into_owned()).collect();
    let count = |part: &str| names.iter().filter(|name| name.starts_with(part)).count();
    assert!(count("linnetdeal.work") == 1 && count("linnetdeal.alive") <= 2, "{names:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn an_inherited_listener_accepts_clients() {
    use std::os::fd::AsRawFd;
    let platform_socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let inherited = linnetdeal_net::frontend::inherit(platform_socket.as_raw_fd()).unwrap();
    let client = std::net::TcpStream::connect(platform_socket.local_addr().unwrap()).unwrap();
    let (_, from) = futures_lite::future::block_on(inherited.accept()).unwrap();
    assert_eq!(from, client.local_addr().unwrap());
    // Any other descriptor is refused, and the error names its number.
    let (file, udp) =
        (std::fs::File::open("/dev/null").unwrap(), std::net::UdpSocket::bind("127.0.0.1:0").unwrap());
    for number in [1_000_000, file.as_raw_fd(), udp.as_raw_fd(), client.as_raw_fd()] {
        let error = linnetdeal_net::frontend::inherit(number).unwrap_err().to_string();
        assert!(error.starts_with(&format!("descriptor {number}")), "{error}");
    }
}

/// A file with one invalid value is refused as a whole, with the place of the error: in a partly accepted one,
/// the address of discovery led nowhere.
#[test]
fn a_configuration_with_a_deadline_or_attempt_limit_not_above_0_is_refused() {
    use linnetdeal_net::config::Config;
    let with = |deadline: &str, attempts: &str| {
        format!(
            r#"{{"listen":"127.0.0.1:0","settings":{{"FleetSize":1,"Zone":"a","Discovery":"push",
            "Lanes":[{{"Name":"r","Effect":"retryable","Objective":300{deadline},"Worth":1,"LateValue":0}}],
            "FamilyInfo":{{"NeedsByClass":["eventual"],"OldestData":[0],"WhenBehind":"none",
            "SessionMarks":"kept","Zero":0}},
            "Limits":{{{attempts}"MayDuplicate":false,"Probing":true,"Cancel":true,"RetryAfter":true}},
            "Rules":{{"DrainGrace":250,"ColdFrom":0.16,"Cold":16000,"FallMultiple":2.5,"Fall":3000}}}}}}"#
        )
    };
    let refused = |text: &str| Config::decode(text).map(drop).map_err(|error| error.to_string());
    assert_eq!(refused(&with(r#","Deadline":1000"#, r#""SendCap":10,"#)), Ok(()));
    let broken = [
        (with(r#","Deadline":0"#, r#""SendCap":10,"#), "Lanes.0.Deadline"),
        (with(r#","Deadline":-5"#, r#""SendCap":10,"#), "Lanes.0.Deadline"),
        (with("", r#""SendCap":10,"#), "Lanes.0.Deadline"),
        (with(r#","Deadline":1000"#, r#""SendCap":0,"#), "Limits.SendCap"),
        (with(r#","Deadline":1000"#, r#""SendCap":-1,"#), "Limits.SendCap"),
        (with(r#","Deadline":1000"#, ""), "Limits.SendCap"),
        (String::new(), "line 1"),
    ];
    for (text, place) in broken {
        let error = refused(&text).expect_err(place);
        assert!(error.contains(place), "{error}");
    }
}
