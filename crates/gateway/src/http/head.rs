//! Heads of requests and responses.

use crate::http::{Error, body::Framing};

/// Most header fields in one head.
const MAX_FIELDS: usize = 100;

/// One header field. Its value is kept as bytes, since it is forwarded as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Its name as it came.
    pub name: Box<str>,
    /// Its value without surrounding spaces.
    pub value: Box<[u8]>,
}

/// The fields of one head, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(pub Vec<Field>);

impl Fields {
    /// The first value of `name`, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|it| it.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Whether the comma-separated list `name` holds `word`.
    pub fn contains_token(&self, name: &str, word: &str) -> bool {
        self.all(name).flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case(word))
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.0.iter().filter(move |it| it.name.eq_ignore_ascii_case(name));
        named.filter_map(|it| std::str::from_utf8(&it.value).ok())
    }

    /// The framing that the fields declare, or `None` when they declare none.
    ///
    /// Guards against smuggling: a message that two parties frame differently carries a second one
    /// inside its body. It shows as a request that no caller sent. The check holds because every
    /// message with more than one reading is refused.
    fn framing(&self) -> Result<Option<Framing>, Error> {
        let mut codings = self.all("transfer-encoding");
        let mut lengths = self.all("content-length").flat_map(|it| it.split(',')).map(str::trim);
        match (codings.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                if codings.next().is_some() {
                    Err(Error::Framing)
                } else {
                    Ok(Some(Framing::chunked()))
                }
            }
            (None, Some(length)) => {
                if length.is_empty() || !length.bytes().all(|it| it.is_ascii_digit()) {
                    return Err(Error::Framing);
                }
                if lengths.any(|it| it != length) {
                    return Err(Error::Framing);
                }
                length.parse().map(|it| Some(Framing::Length(it))).map_err(|_| Error::Framing)
            }
            _ => Err(Error::Framing),
        }
    }
}

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Method, as it came.
    pub method: Box<str>,
    /// Target, as it came.
    pub target: Box<str>,
    /// Whether it is of version 1.1, not 1.0.
    pub is_http11: bool,
    /// Its fields.
    pub fields: Fields,
    /// How its body is framed.
    pub framing: Framing,
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Its fields.
    pub fields: Fields,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection can't carry another exchange.
    pub closes_connection: bool,
}

impl Request {
    /// Takes a whole head off the front of `input`, or `None` while it is incomplete.
    pub fn decode(input: &mut Vec<u8>, max: usize) -> Result<Option<Self>, Error> {
        // Some senders end a body with an extra line break.
        let blank = input.iter().take_while(|it| **it == b'\r' || **it == b'\n').count();
        input.drain(..blank);
        if input.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let len = match parsed.parse(input) {
            Ok(httparse::Status::Complete(len)) if len <= max => len,
            Ok(httparse::Status::Partial) if input.len() <= max => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Error::TooLong),
            Err(httparse::Error::Version) => return Err(Error::Version),
            Err(_) => return Err(Error::Head),
        };
        let fields = copy(parsed.headers);
        let framing = fields.framing()?.unwrap_or(Framing::Empty);
        let is_current = parsed.version == Some(1);
        if !is_current && framing == Framing::chunked() {
            return Err(Error::Framing);
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            is_http11: is_current,
            framing,
            fields,
        };
        input.drain(..len);
        Ok(Some(head))
    }

    /// Whether the caller keeps the connection for more requests.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.contains_token("connection", "close")
    }

    /// The target's path.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The target's query, empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |it| it.1)
    }

    /// The first value of `name` in the query, as it came.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query().split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1)
    }
}

impl Response {
    /// Takes a whole head off the front of `input`, or `None` while it is incomplete. Interim
    /// responses are passed over. `to_head`: the request was a `HEAD`.
    pub fn decode(input: &mut Vec<u8>, max: usize, to_head: bool) -> Result<Option<Self>, Error> {
        loop {
            if input.is_empty() {
                return Ok(None);
            }
            let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut parsed = httparse::Response::new(&mut fields);
            let len = match parsed.parse(input) {
                Ok(httparse::Status::Complete(len)) if len <= max => len,
                Ok(httparse::Status::Partial) if input.len() <= max => return Ok(None),
                Ok(_) => return Err(Error::TooLong),
                Err(_) => return Err(Error::Head),
            };
            let status = parsed.code.ok_or(Error::Head)?;
            let is_current = parsed.version == Some(1);
            let fields = copy(parsed.headers);
            input.drain(..len);
            if (100..200).contains(&status) {
                continue;
            }
            let declared = fields.framing()?;
            let framing = match declared {
                _ if to_head || status == 204 || status == 304 => Framing::Empty,
                Some(framing) => framing,
                None => Framing::UntilClose,
            };
            let closes = !is_current
                || framing == Framing::UntilClose
                || fields.contains_token("connection", "close");
            return Ok(Some(Self { status, fields, framing, closes_connection: closes }));
        }
    }
}

fn copy(headers: &[httparse::Header<'_>]) -> Fields {
    let copy = |it: &httparse::Header<'_>| Field { name: it.name.into(), value: it.value.into() };
    Fields(headers.iter().map(copy).collect())
}
