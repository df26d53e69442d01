//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        field.map(|it| it.1.as_str())
    }

    /// The word at `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// The text for which a percent-encoded one stands. Anything else after `%` stands for itself.
pub fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let digits = after.get(..2).filter(|it| it.iter().all(u8::is_ascii_hexdigit));
        let digits = digits.filter(|_| *first == b'%').and_then(|it| std::str::from_utf8(it).ok());
        let byte = digits.and_then(|it| u8::from_str_radix(it, 16).ok());
        bytes.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// How many requests it has carried.
    pub requests: u32,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), requests: 0 }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// The next head, or `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|it| it.split_once(':'));
                let fields = fields.map(|it| (it.0.to_owned(), it.1.trim().to_owned())).collect();
                return Ok(Some(Head { first, fields }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// The body of the message with `head`. An incomplete one is an error.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(len) = head.get("content-length").and_then(|it| it.parse::<usize>().ok()) {
            return self.take(len);
        }
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        Ok(body)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with this body.
    pub fn respond(&mut self, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
        let head =
            format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat())
    }
}
