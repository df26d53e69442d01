//! Parses the heads of requests and responses.

use std::ops::Range;

use crate::http::{Error, body::Framing, has_blank_line};

/// Maximum number of header fields in one head.
const MAX_FIELDS: usize = 100;
/// Length of a response's head up to which each further piece of it is parsed at once.
const SHORT_HEAD_BYTES: usize = 4 * 1024;
/// Status codes of responses, interim ones too.
const STATUSES: Range<u16> = 100..600;
/// Longest part of the line breaks at the end of a head that may have arrived before the rest.
const PARTIAL_END_BYTES: usize = 2;

/// One header field. Its value is kept as bytes, since it is forwarded unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name, in the received case.
    pub name: Box<str>,
    /// Value, without surrounding white space.
    pub value: Box<[u8]>,
}

/// Header fields of one head, in the received order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(pub Vec<Field>);

impl Fields {
    /// The first value of the field `name`, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|it| it.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Whether the comma-separated values of the field `name` contain `token`, in any case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|it| it.split(','))
            .any(|it| it.trim().eq_ignore_ascii_case(token))
    }

    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let matching = self.0.iter().filter(move |it| it.name.eq_ignore_ascii_case(name));
        matching.filter_map(|it| std::str::from_utf8(&it.value).ok())
    }

    /// The framing that the fields declare, or `None` if they declare none.
    ///
    /// Prevents request smuggling: if two parties frame a message differently, its body can hide a second
    /// message, and the backend server gets a request that no caller sent. Therefore each message whose
    /// framing is ambiguous is rejected.
    fn framing(&self) -> Result<Option<Framing>, Error> {
        let mut codings = self.values("transfer-encoding");
        let mut lengths = self.values("content-length").flat_map(|it| it.split(',')).map(str::trim);
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
    /// Method, as received.
    pub method: Box<str>,
    /// Target, as received.
    pub target: Box<str>,
    /// Whether the version is HTTP/1.1, not 1.0.
    pub is_http11: bool,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection can't be used for another request.
    pub closes_connection: bool,
}

impl Request {
    /// Removes a complete head from the front of `input` and parses it; `None` if it is incomplete. Fails if it is
    /// longer than `max` bytes.
    pub fn decode(input: &mut Vec<u8>, max: usize) -> Result<Option<Self>, Error> {
        // Some clients send an extra line break after a body.
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
        let fields = to_fields(parsed.headers);
        let framing = fields.framing()?.unwrap_or(Framing::Empty);
        let is_http11 = parsed.version == Some(1);
        if !is_http11 && framing == Framing::chunked() {
            return Err(Error::Framing);
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            is_http11,
            framing,
            fields,
        };
        input.drain(..len);
        Ok(Some(head))
    }

    /// Whether the connection stays open after this request.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.fields.contains_token("connection", "close")
    }

    /// Whether it is a `HEAD` request, whose answer has no body.
    pub fn is_head(&self) -> bool {
        &*self.method == "HEAD"
    }

    /// Path of the target.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Query of the target; empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |it| it.1)
    }

    /// The first value of the query parameter `name`, not decoded.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query().split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1)
    }
}

impl Response {
    /// Removes a complete head from the front of `input` and parses it; `None` if it is incomplete. Fails if it is
    /// longer than `max` bytes. Interim (1xx) responses are skipped. `is_to_head`: the request was a `HEAD`.
    pub fn decode(
        input: &mut Vec<u8>,
        max: usize,
        is_to_head: bool,
    ) -> Result<Option<Self>, Error> {
        Decoder::default().decode(input, max, is_to_head)
    }

    fn new(status: u16, is_http11: bool, fields: Fields, is_to_head: bool) -> Result<Self, Error> {
        let declared = fields.framing()?;
        let framing = match declared {
            _ if is_to_head || status == 204 || status == 304 => Framing::Empty,
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        let closes_connection = !is_http11
            || framing == Framing::UntilClose
            || fields.contains_token("connection", "close");
        Ok(Self { status, fields, framing, closes_connection })
    }
}

/// Parses the head of one response as it arrives, after any interim (1xx) responses.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes of the interim responses that were removed from the input.
    skipped: usize,
    /// Length of the input in which no end of a head was found.
    scanned: usize,
    /// Length of the input from which on it is parsed although it has no end of a head, to find what is malformed.
    parse_from: usize,
}

impl Decoder {
    /// Removes the head from the front of `input` and parses it; `None` if it is incomplete. Fails if it is longer than
    /// `max` bytes, with the interim responses before it. `is_to_head`: the request was a `HEAD`.
    ///
    /// Takes time in proportion to the bytes, however small the pieces are in which they arrive.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
        max: usize,
        is_to_head: bool,
    ) -> Result<Option<Response>, Error> {
        let added = self.scanned.saturating_sub(PARTIAL_END_BYTES).min(input.len());
        let mut at = 0;
        let response = match has_blank_line(&input[added..]) || self.parse_from <= input.len() {
            true => decode_final(input, &mut at, is_to_head)?,
            false => None,
        };
        input.drain(..at);
        self.skipped += at;
        self.scanned = input.len();
        self.parse_from = input.len() + input.len().saturating_sub(SHORT_HEAD_BYTES);
        let unparsed = if response.is_none() { input.len() } else { 0 };
        match self.skipped + unparsed <= max {
            true => Ok(response),
            false => Err(Error::TooLong),
        }
    }
}

/// Parses the first response of `input` that isn't an interim one. `at`: the length of what was parsed.
fn decode_final(input: &[u8], at: &mut usize, is_to_head: bool) -> Result<Option<Response>, Error> {
    while *at < input.len() {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        match parsed.parse(&input[*at..]) {
            Ok(httparse::Status::Complete(len)) => *at += len,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Head),
        }
        let status = parsed.code.filter(|it| STATUSES.contains(it)).ok_or(Error::Head)?;
        if !(100..200).contains(&status) {
            let fields = to_fields(parsed.headers);
            return Response::new(status, parsed.version == Some(1), fields, is_to_head).map(Some);
        }
    }
    Ok(None)
}

fn to_fields(headers: &[httparse::Header<'_>]) -> Fields {
    let to_field =
        |it: &httparse::Header<'_>| Field { name: it.name.into(), value: it.value.into() };
    Fields(headers.iter().map(to_field).collect())
}
