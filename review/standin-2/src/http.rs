//! HTTP/1.1 over blocking sockets: requests that servers read, and answers that clients read.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait of a server for the next bytes of a channel.
const SERVER_WAIT: Duration = Duration::from_secs(60);

/// Buffered bytes of a channel.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEnd {
    /// Its length or its last chunk was reached.
    Complete,
    /// The channel was closed before the end of the answer.
    Closed,
    /// The channel was reset, or another error came.
    Failed(String),
    /// The client waited long enough.
    TimedOut,
}

/// An answer as a client reads it. `status` is 0 if no head came.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: AnswerEnd,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Whether a success with the receipt arrived to its last byte.
    pub fn is_whole_success(&self) -> bool {
        (200..300).contains(&self.status)
            && self.end == AnswerEnd::Complete
            && self.header("x-response-signature").is_some()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
}

impl Channel {
    /// Wraps an open channel.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Opens a channel.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    /// Reads more bytes; 0 at the end of the channel.
    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn need(&mut self) -> io::Result<()> {
        if self.fill()? == 0 { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.need()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.need()?;
        }
    }

    fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn chunked(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            // What has arrived of a chunk counts as read, also if the rest never comes.
            let mut left = size;
            while left > 0 {
                if self.buffer.is_empty() {
                    self.need()?;
                }
                let part = self.take(left.min(self.buffer.len()))?;
                left -= part.len();
                body.extend(part);
            }
            self.take(2)?;
        }
    }

    /// Reads the next request; `None` at the end of the channel.
    pub fn request(&mut self) -> Option<Request> {
        let _ = self.stream.set_read_timeout(Some(SERVER_WAIT));
        let (first, headers) = self.head().ok()?;
        let mut words = first.split(' ');
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        let mut body = Vec::new();
        if find(&headers, "transfer-encoding").is_some() {
            self.chunked(&mut body).ok()?;
        } else if let Some(length) = find(&headers, "content-length") {
            body = self.take(length.parse().ok()?).ok()?;
        }
        Some(Request { method, path, headers, body })
    }

    /// Reads the answer to a request that was sent, waiting at most `wait` for each part.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(wait));
        let mut answer =
            Answer { status: 0, headers: Vec::new(), body: Vec::new(), end: AnswerEnd::Complete };
        if let Err(error) = self.read_answer(&mut answer) {
            answer.end = match error.kind() {
                ErrorKind::UnexpectedEof => AnswerEnd::Closed,
                ErrorKind::WouldBlock | ErrorKind::TimedOut => AnswerEnd::TimedOut,
                _ => AnswerEnd::Failed(error.to_string()),
            };
        }
        answer
    }

    fn read_answer(&mut self, answer: &mut Answer) -> io::Result<()> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        answer.status = status.ok_or_else(|| io::Error::from(ErrorKind::InvalidData))?;
        answer.headers = headers;
        if answer.header("transfer-encoding").is_some() {
            return self.chunked(&mut answer.body);
        }
        let length: usize =
            answer.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while answer.body.len() < length {
            if self.buffer.is_empty() {
                self.need()?;
            }
            let part = self.take((length - answer.body.len()).min(self.buffer.len()))?;
            answer.body.extend(part);
        }
        Ok(())
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a small answer with a length.
    pub fn reply(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }
}
