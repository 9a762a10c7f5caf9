use super::{Error, Limits, framing::Framing};

const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";
const MAX_SIZE_DIGITS: usize = 8;
const MAX_INTERIM: u32 = 8;
/// Chunks that a request may have, besides one for each KiB of the largest
/// body. The decoder spends about 100 bytes of memory on each of them.
const BASE_MAX_CHUNKS: u64 = 1024;

/// Which kind of message is received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Requests from a caller.
    Request,
    /// Responses from a target or the platform.
    Response,
}

#[derive(Debug)]
enum State {
    Head(Vec<u8>),
    Body { remaining: u64 },
    ChunkSize(Vec<u8>),
    ChunkData { remaining: u64 },
    ChunkEnd { seen: usize },
    LastChunkEnd { seen: usize },
    Complete,
}

/// Finds the end of one HTTP/1.1 message at a time and rejects what the decoder
/// would misread.
#[derive(Debug)]
pub struct Scanner {
    direction: Direction,
    limits: Limits,
    state: State,
    chunked_bytes: u64,
    chunks: u64,
    interim: u32,
    bodiless: bool,
}

impl Scanner {
    /// Creates a scanner that expects the head of a first message.
    #[must_use]
    pub fn new(direction: Direction, limits: Limits) -> Self {
        Self {
            direction,
            limits,
            state: State::Head(Vec::new()),
            chunked_bytes: 0,
            chunks: 0,
            interim: 0,
            bodiless: false,
        }
    }

    /// Returns whether the message has ended.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Returns whether no byte of a further message has been seen.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        match &self.state {
            State::Complete => true,
            State::Head(head) => head.is_empty() && self.interim == 0,
            _ => false,
        }
    }

    /// Expects the head of the next message. Interim responses belong to the
    /// message of the final response that they precede.
    pub fn begin_message(&mut self) {
        self.state = State::Head(Vec::new());
        self.interim = 0;
        self.bodiless = false;
    }

    /// Expects the head of a response to HEAD, which has no body whatever its
    /// header fields say.
    pub fn begin_bodiless(&mut self) {
        self.begin_message();
        self.bodiless = true;
    }

    /// Checks received bytes up to the end of the message and returns their number.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] of the first rule that the bytes violate. The
    /// connection must be closed then, since it is unknown where the next
    /// message begins.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        let mut used = 0;
        while used < bytes.len() && !self.is_complete() {
            used += self.step(&bytes[used..])?;
        }
        Ok(used)
    }

    fn step(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        let (next, used) = match &mut self.state {
            State::Head(head) => {
                let (complete, used) = fill_head(head, bytes, self.limits.head)?;
                if !complete {
                    return Ok(used);
                }
                let framing = Framing::from_head(head, self.direction, self.bodiless, self.limits)?;
                (Some(self.after_head(framing)?), used)
            }
            State::Body { remaining } | State::ChunkData { remaining } => {
                (None, skip(remaining, bytes))
            }
            State::ChunkSize(line) => {
                let used = fill_line(line, bytes)?;
                if !line.ends_with(LINE_END) {
                    return Ok(used);
                }
                let size = parse_chunk_size(&line[..line.len() - LINE_END.len()])?;
                (Some(self.begin_chunk(size)?), used)
            }
            State::ChunkEnd { seen } => (None, expect_line_end(seen, bytes, Error::ChunkEnd)?),
            State::LastChunkEnd { seen } => (None, expect_line_end(seen, bytes, Error::Trailer)?),
            State::Complete => (None, 0),
        };
        if let Some(next) = next {
            self.state = next;
        }
        self.finish_state();
        Ok(used)
    }

    fn after_head(&mut self, framing: Framing) -> Result<State, Error> {
        self.chunked_bytes = 0;
        self.chunks = 0;
        match framing {
            Framing::Length(remaining) => Ok(State::Body { remaining }),
            Framing::Chunked => Ok(State::ChunkSize(Vec::new())),
            Framing::Interim if self.interim == MAX_INTERIM => {
                Err(Error::TooManyInterim { limit: MAX_INTERIM })
            }
            Framing::Interim => {
                self.interim += 1;
                Ok(State::Head(Vec::new()))
            }
        }
    }

    fn begin_chunk(&mut self, size: u64) -> Result<State, Error> {
        self.chunked_bytes += size;
        self.chunks += 1;
        let max_chunks = BASE_MAX_CHUNKS + self.limits.body / 1024;
        match size {
            0 => Ok(State::LastChunkEnd { seen: 0 }),
            _ if size > self.limits.chunk => Err(Error::ChunkTooLarge { limit: self.limits.chunk }),
            _ if self.chunked_bytes > self.limits.body => {
                Err(Error::BodyTooLarge { limit: self.limits.body })
            }
            // Responses need no such bound: the client takes each chunk before the
            // next is decoded.
            _ if self.direction == Direction::Request && self.chunks > max_chunks => {
                Err(Error::TooManyChunks { limit: max_chunks })
            }
            _ => Ok(State::ChunkData { remaining: size }),
        }
    }

    /// Changes the state if its bytes have all been read.
    fn finish_state(&mut self) {
        let next = match self.state {
            State::Body { remaining: 0 } => State::Complete,
            State::ChunkData { remaining: 0 } => State::ChunkEnd { seen: 0 },
            State::ChunkEnd { seen } if seen == LINE_END.len() => State::ChunkSize(Vec::new()),
            State::LastChunkEnd { seen } if seen == LINE_END.len() => State::Complete,
            _ => return,
        };
        self.state = next;
    }
}

/// Appends bytes up to the end of the head and returns whether it is complete.
fn fill_head(head: &mut Vec<u8>, bytes: &[u8], limit: usize) -> Result<(bool, usize), Error> {
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            _ if head.len() >= limit => return Err(Error::HeadTooLarge { limit }),
            b'\n' if head.last() != Some(&b'\r') => return Err(Error::BareLineFeed),
            _ => head.push(*byte),
        }
        if head.ends_with(HEAD_END) {
            return Ok((true, index + 1));
        }
        // The decoder skips empty lines before a head, so the two would
        // disagree on where the head begins.
        if head.as_slice() == LINE_END {
            return Err(Error::InvalidHead);
        }
    }
    Ok((false, bytes.len()))
}

/// Appends bytes up to the end of a chunk's size line and returns their number.
fn fill_line(line: &mut Vec<u8>, bytes: &[u8]) -> Result<usize, Error> {
    for (index, byte) in bytes.iter().enumerate() {
        line.push(*byte);
        match byte {
            b'\n' if line.ends_with(LINE_END) => return Ok(index + 1),
            _ if line.len() >= MAX_SIZE_DIGITS + LINE_END.len() => return Err(Error::ChunkSize),
            _ => {}
        }
    }
    Ok(bytes.len())
}

fn parse_chunk_size(digits: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(digits).map_err(|_| Error::ChunkSize)?;
    if !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit()) {
        u64::from_str_radix(text, 16).map_err(|_| Error::ChunkSize)
    } else {
        Err(Error::ChunkSize)
    }
}

fn skip(remaining: &mut u64, bytes: &[u8]) -> usize {
    let used = usize::try_from(*remaining).map_or(bytes.len(), |left| left.min(bytes.len()));
    *remaining -= used as u64;
    used
}

fn expect_line_end(seen: &mut usize, bytes: &[u8], error: Error) -> Result<usize, Error> {
    let expected = &LINE_END[*seen..];
    let used = expected.len().min(bytes.len());
    if bytes[..used] != expected[..used] {
        return Err(error);
    }
    *seen += used;
    Ok(used)
}
