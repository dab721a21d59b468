//! The parsers on anything at all: no panic, and no message before its last byte is there.

use linnetdeal::net::{http, pg};
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
    fn a_request_comment_gives_the_place_of_its_wait(wait in 0_u32..100_000, key in "[a-z'é/*]{0,12}") {
        let key = key.replace('\'', "''");
        let statement = format!("SELECT content FROM kv WHERE name = '{key}' /* id=9b, c=menu,d={wait}, cluster=2 */");
        let Ok(pg::Asks::Request(comment)) = pg::request(&statement) else { panic!("{statement}") };
        prop_assert_eq!(&statement[comment.wait_at.clone()], wait.to_string());
        prop_assert_eq!((comment.class, comment.cluster, comment.after_ms), ("menu", 2, None));
        prop_assert_eq!(pg::key(&statement), Some(key.as_str()));
    }
}
