//! The parsers on anything at all: no panic, and no message before its last byte is there.

use linnetdeal_core::Field;
use linnetdeal_net::{http, pg};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_a_parser_panic(data in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Some(message)) = pg::message(&data) {
            prop_assert!(message.size <= data.len() && message.body.len() == message.size - 5);
        }
        let _ = (pg::startup(&data), pg::query_text(&data), pg::error_fields(&data));
        let _ = (pg::parameter(&data), pg::row_value(&data), http::head(&data), http::chunk(&data));
        if let Ok(Some(message)) = pg::server_message(&data) {
            let _ = pg::Answer::default().take(&message);
        }
        let text = String::from_utf8_lossy(&data);
        let _ = (pg::request(&text), pg::key(&text), pg::report(&text, &[]));
    }

    #[test]
    fn a_cut_message_is_waited_for(body in prop::collection::vec(any::<u8>(), 0..100), tag: u8, cut in 0.0..1.0) {
        let mut data = vec![tag];
        data.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        data.extend_from_slice(&body);
        let at = (data.len() as f64 * cut) as usize;
        prop_assert_eq!(pg::message(&data[..at]), Ok(None));
        prop_assert_eq!(pg::message(&data), Ok(Some(pg::Message { tag, body: &body, size: data.len() })));
    }

    #[test]
    fn an_answer_is_one_value_or_one_error_and_nothing_else(tags in "[TDCESNZ]{1,7}") {
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
        let ended = tags.chars().map(|tag| {
            let body = body(tag);
            let part = answer.take(&pg::Message { tag: tag as u8, body: &body, size: 5 + body.len() });
            passed += usize::from(matches!(part, Ok(pg::Part::Value(_))));
            part
        });
        // Up to what spoils or ends it.
        let ended = ended.take_while(Result::is_ok).map(Result::unwrap).find(|part| *part == pg::Part::Ready);
        let own: String = tags.chars().filter(|tag| !"SN".contains(*tag)).collect();
        let good = own.starts_with("TDCZ") || own.starts_with("EZ");
        prop_assert_eq!(ended.is_some(), good, "{}", tags);
        if good {
            prop_assert_eq!((passed, answer.failed().is_none()), if own.starts_with('T') { (3, true) } else { (0, false) });
        }
    }

    #[test]
    fn a_load_report_that_can_not_be_is_none(gauges in "(x0=(1767225600.5|inf|1e99|-1|)|x1=(0|1|2|nan)|x2=1|noise){1}(,(x1=(0|1|7)|x0=5))?") {
        let fields = [("x0".to_owned(), Field::Position), ("x1".to_owned(), Field::Primary)];
        let good = ["x0=1767225600.5,x1=0", "x0=1767225600.5,x1=1", "x1=0,x0=5", "x1=1,x0=5"];
        prop_assert_eq!(pg::report(&gauges, &fields).is_some(), good.contains(&gauges.as_str()), "{}", gauges);
    }

    #[test]
    fn a_request_comment_gives_the_place_of_its_wait(wait in 0_u32..100_000, key in "[a-z'é/*]{0,12}") {
        let key = key.replace('\'', "''");
        let statement = format!("SELECT content FROM kv WHERE name = '{key}' /* id=9b, c=menu,d={wait}, cluster=2 */");
        let Ok(pg::Asks::Request(comment)) = pg::request(&statement) else { panic!("{statement}") };
        prop_assert_eq!(&statement[comment.wait_at.clone()], wait.to_string());
        prop_assert_eq!((comment.class, comment.cluster, comment.after_ms), ("menu", 2, None));
        prop_assert_eq!(pg::key(&statement), Some(key.as_str()));
    }
}
