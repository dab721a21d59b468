//! Streams that come and go in pieces: objects cut out of them, and writes that are given up in the middle.

use async_io::Async;
use futures_lite::future::{block_on, poll_once};
use linnetdeal_net::buffer::write_counted;
use linnetdeal_net::objects::{MAX_OBJECT_BYTES, ObjectSplitter, SplitError, StreamItem};
use std::cell::Cell;
use std::io::Read;
use std::net::{TcpListener, TcpStream};

fn cut(pieces: &[&[u8]]) -> Result<Vec<StreamItem>, SplitError> {
    let (mut objects, mut all) = (ObjectSplitter::default(), Vec::new());
    for piece in pieces {
        objects.push_bytes(piece);
        while let Some(whole) = objects.next_item()? {
            all.push(whole);
        }
    }
    Ok(all)
}

#[test]
fn a_stream_is_cut_into_the_same_objects_wherever_its_pieces_end() {
    let first =
        "{\r\n  \"generation\": 43,\n\n  \"instances\": [ {\"instanceId\": \"a}\\\"{[\\\\\"}, [] ]\n}";
    let (second, third) = ("{\"generation\":44,\"x\":\"\u{e9}]\"}", "{}");
    let text = format!("\r\n{first}{second} \t{third}\n");
    let object = |text: &str| StreamItem::Object(text.as_bytes().to_vec());
    let whole = cut(&[text.as_bytes()]).unwrap();
    let objects: Vec<_> = whole.iter().filter(|of| **of != StreamItem::LineEnd).collect();
    // White space in front of an object comes with it; its reader passes over it.
    assert_eq!(objects, [&object(first), &object(second), &object(&format!(" \t{third}"))]);
    assert_eq!(
        (whole.first(), whole.last()),
        (Some(&StreamItem::LineEnd), Some(&StreamItem::LineEnd)),
        "only ends of lines outside"
    );
    for at in 0..text.len() {
        let (before, after) = text.as_bytes().split_at(at);
        assert_eq!(cut(&[before, after]).unwrap(), whole, "cut at {at}");
    }
    let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
    assert_eq!(cut(&bytes).unwrap(), whole);
}

#[test]
fn what_is_no_object_is_an_error_and_nothing_grows_without_end() {
    assert_eq!(cut(&[b"{}\nnoise\n"]), Err(SplitError::UnexpectedCharacter('n')));
    assert_eq!(cut(&[b"}"]), Err(SplitError::UnexpectedCharacter('}')));
    assert_eq!(cut(&[b"[]"]), Err(SplitError::UnexpectedCharacter('[')));
    assert_eq!(
        cut(&[b"{\"generation\":1,\"inst\n{}\n"]),
        Err(SplitError::LineEndInString),
        "cut off within a text"
    );
    assert_eq!(cut(&[b"{", &vec![b' '; MAX_OBJECT_BYTES]]), Err(SplitError::TooLong));
}

#[test]
fn what_the_system_took_of_a_write_is_known_when_it_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let (head, body) = ([1_u8; 5], vec![2_u8; 64 * 1024 * 1024]);
    let written = Cell::new(0);
    block_on(async {
        let pieces: [&[u8]; 2] = [&head, &body];
        let mut write = Box::pin(write_counted(&near, &pieces, &written));
        assert!(poll_once(&mut write).await.is_none(), "more than fits into any buffer");
    });
    assert!(written.get() > head.len() && written.get() < body.len());
    drop(near);
    let mut all = Vec::new();
    far.read_to_end(&mut all).unwrap();
    assert_eq!(all.len(), written.get());
}
