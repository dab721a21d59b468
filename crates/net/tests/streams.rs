//! Streams in pieces: how they are split into objects, and writes that are dropped before they are complete.

use async_io::Async;
use futures_lite::future::{block_on, poll_once};
use linnetdeal_net::buffer::write_counted;
use linnetdeal_net::objects::{MAX_OBJECT_BYTES, ObjectSplitter, SplitError, StreamItem};
use std::cell::Cell;
use std::io::Read;
use std::net::{TcpListener, TcpStream};

fn split(pieces: &[&[u8]]) -> Result<Vec<StreamItem>, SplitError> {
    let (mut splitter, mut all) = (ObjectSplitter::default(), Vec::new());
    for piece in pieces {
        splitter.push_bytes(piece);
        while let Some(item) = splitter.next_item()? {
            all.push(item);
        }
    }
    Ok(all)
}

#[test]
fn a_stream_is_split_into_the_same_objects_wherever_its_pieces_end() {
    let first =
        "{\r\n  \"generation\": 43,\n\n  \"instances\": [ {\"instanceId\": \"a}\\\"{[\\\\\"}, [] ]\n}";
    let (second, third) = ("{\"generation\":44,\"x\":\"\u{e9}]\"}", "{}");
    let text = format!("\r\n{first}{second} \t{third}\n");
    let object = |text: &str| StreamItem::Object(text.as_bytes().to_vec());
    let items = split(&[text.as_bytes()]).unwrap();
    let objects: Vec<_> = items.iter().filter(|item| **item != StreamItem::LineEnd).collect();
    // White space before an object is part of it; the JSON parser ignores it.
    assert_eq!(objects, [&object(first), &object(second), &object(&format!(" \t{third}"))]);
    assert_eq!(
        (items.first(), items.last()),
        (Some(&StreamItem::LineEnd), Some(&StreamItem::LineEnd)),
        "only line ends lie outside of the objects"
    );
    for at in 0..text.len() {
        let (before, after) = text.as_bytes().split_at(at);
        assert_eq!(split(&[before, after]).unwrap(), items, "split at {at}");
    }
    let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
    assert_eq!(split(&bytes).unwrap(), items);
}

#[test]
fn text_outside_of_objects_and_endless_objects_are_errors() {
    assert_eq!(split(&[b"{}\nnoise\n"]), Err(SplitError::UnexpectedCharacter('n')));
    assert_eq!(split(&[b"}"]), Err(SplitError::UnexpectedCharacter('}')));
    assert_eq!(split(&[b"[]"]), Err(SplitError::UnexpectedCharacter('[')));
    assert_eq!(
        split(&[b"{\"generation\":1,\"inst\n{}\n"]),
        Err(SplitError::LineEndInString),
        "truncated within a string"
    );
    assert_eq!(split(&[b"{", &vec![b' '; MAX_OBJECT_BYTES]]), Err(SplitError::TooLong));
}

#[test]
fn the_bytes_accepted_of_a_write_are_known_when_it_is_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let (head, body) = ([1_u8; 5], vec![2_u8; 64 * 1024 * 1024]);
    let written = Cell::new(0);
    block_on(async {
        let pieces: [&[u8]; 2] = [&head, &body];
        let mut write = Box::pin(write_counted(&local, &pieces, &written));
        assert!(poll_once(&mut write).await.is_none(), "more than fits into any buffer");
    });
    assert!(written.get() > head.len() && written.get() < body.len());
    drop(local);
    let mut all = Vec::new();
    peer.read_to_end(&mut all).unwrap();
    assert_eq!(all.len(), written.get());
}
