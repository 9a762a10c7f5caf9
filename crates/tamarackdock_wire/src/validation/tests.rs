use assert_matches::assert_matches;

use super::{Direction, Error, Limits, Scanner};

fn feed(direction: Direction, bytes: &[u8]) -> Result<bool, Error> {
    let limits = Limits { head: 256, body: 64, chunk: 16 };
    let mut scanner = Scanner::new(direction, limits);
    for byte in bytes {
        if scanner.is_complete() {
            scanner.begin_message();
        }
        scanner.feed(std::slice::from_ref(byte))?;
    }
    Ok(scanner.is_complete())
}

/// Guards against request smuggling by two declarations of the body's length.
#[test]
fn ambiguous_length_is_refused() {
    let both = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_matches!(feed(Direction::Request, both), Err(Error::AmbiguousLength));
    let unequal = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_matches!(feed(Direction::Request, unequal), Err(Error::InvalidLength));
}

/// Guards against a truncated stream that is taken for a complete response
/// because an empty chunk size is read as that of the last chunk.
#[test]
fn empty_chunk_size_is_refused() {
    let empty = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n\r\n";
    assert_matches!(feed(Direction::Response, empty), Err(Error::ChunkSize));
}

/// Guards against valid messages that are rejected, and against a scanner that
/// misses their end.
#[test]
fn whole_messages_are_accepted() {
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    assert_matches!(feed(Direction::Response, chunked), Ok(true));
    let fixed = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n";
    assert_matches!(feed(Direction::Request, fixed), Ok(true));
}
