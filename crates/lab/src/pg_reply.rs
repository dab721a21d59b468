//! Messages of PostgreSQL's protocol that stand-in servers send.

use linnetdeal_net::pg::write;

fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap_or(0).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends ParameterStatus messages with the server's role and its replication position.
pub fn status_parameters(out: &mut Vec<u8>, primary: bool, position: i64) {
    let role = if primary { "master" } else { "replica" };
    for (name, value) in [("part", role), ("caught_up_to", &position.to_string())] {
        message(out, b'S', format!("{name}\0{value}\0").as_bytes());
    }
}

/// Appends the answer to a query with one row of one value, and the status parameters; ReadyForQuery is left to the
/// caller.
pub fn single_row(out: &mut Vec<u8>, value: &[u8], primary: bool, position: i64) {
    message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut row = vec![0, 1];
    row.extend_from_slice(&u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
    row.extend_from_slice(value);
    message(out, b'D', &row);
    write::command_complete(out, "SELECT 1");
    status_parameters(out, primary, position);
}
