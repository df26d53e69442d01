//! Request bodies: what routing needs to know of them, and the prompt in a canonical form.
//!
//! Engines take the hashes of the canonical form's blocks as the keys of their caches, so that two
//! different prompts must never have the same form: the answer would build on another prompt's
//! cached work. Equal beginnings of prompts should have equal beginnings of forms, so that the work
//! is shared. Hence each part ends with a mark that its content can't hold, in place of a length
//! before it, and parts stand in the order in which engines lay out a prompt.

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use shallotlead_base::{code::Code, name};

use crate::caller::{failure::Failure, unique::Unique};

const DEFAULT_MAX_TOKENS: u32 = 1_024;
const MAX_MAX_TOKENS: u32 = 1_000_000;
const MAX_MODEL_BYTES: usize = 200;

/// Fields of a request that choose among continuations, or say who asks, but don't change the
/// prompt. Any other field may be part of an engine's prompt and goes into the form.
const NOT_IN_PROMPT: [&str; 18] = [
    "best_of",
    "frequency_penalty",
    "logit_bias",
    "logprobs",
    "metadata",
    "min_p",
    "n",
    "presence_penalty",
    "seed",
    "service_tier",
    "stop",
    "store",
    "stream_options",
    "temperature",
    "top_k",
    "top_logprobs",
    "top_p",
    "user",
];

/// What routing needs to know of a request's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Prompt {
    /// The model asked for.
    pub(crate) model: name::Model,
    /// As a stream of events, or whole.
    pub(crate) stream: bool,
    /// Most tokens to generate.
    pub(crate) max_tokens: u32,
    /// The prompt's text in canonical form.
    pub(crate) text: Vec<u8>,
}

impl Prompt {
    /// Reads the body of `POST /v1/chat/completions`.
    pub(crate) fn chat(body: &[u8]) -> Result<Self, Failure> {
        let chat: Chat = parse(body)?;
        if chat.messages.is_empty() {
            return Err(malformed("messages: expected at least one"));
        }
        let mut form = Form::new(body.len(), &chat.options.rest);
        for message in &chat.messages {
            message.write(&mut form);
        }
        Self::new(&chat.options, form)
    }

    /// Reads the body of `POST /v1/completions`.
    pub(crate) fn completion(body: &[u8]) -> Result<Self, Failure> {
        let completion: Completion = parse(body)?;
        let mut form = Form::new(body.len(), &completion.options.rest);
        form.value(&completion.prompt);
        Self::new(&completion.options, form)
    }

    fn new(options: &Options, form: Form) -> Result<Self, Failure> {
        if options.model.is_empty() || MAX_MODEL_BYTES < options.model.len() {
            return Err(malformed("model: expected a model's name"));
        }
        let max_tokens = options.max_completion_tokens.or(options.max_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_MAX_TOKENS).contains(&max_tokens) {
            return Err(malformed("max_tokens: expected a whole number from 1 to 1000000"));
        }
        let model = name::Model::from(options.model.as_str());
        let stream = options.stream.unwrap_or(false);
        Ok(Self { model, stream, max_tokens, text: form.0 })
    }
}

#[derive(Deserialize)]
struct Chat {
    messages: Vec<Message>,
    #[serde(flatten)]
    options: Options,
}

#[derive(Deserialize)]
struct Completion {
    prompt: Value,
    #[serde(flatten)]
    options: Options,
}

#[derive(Deserialize)]
struct Options {
    model: String,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Value>),
}

impl Message {
    fn write(&self, form: &mut Form) {
        form.text(&self.role);
        if !self.rest.is_empty() {
            form.json(&self.rest);
        }
        match &self.content {
            Some(Content::Text(text)) => form.text(text),
            Some(Content::Parts(parts)) => parts.iter().for_each(|it| form.part(it)),
            None => {}
        }
        form.end();
    }
}

/// What a part of the form is. No two parts of different kinds are equal.
#[derive(Clone, Copy)]
enum Kind {
    Text = 1,
    Json = 2,
    End = 3,
}

/// Ends a part, and begins an escape within one.
const MARK: u8 = 0;
/// After [`MARK`]: the part ends.
const STOP: u8 = 0;
/// After [`MARK`]: the content holds the mark's own byte.
const ESCAPED: u8 = 1;

/// A prompt's canonical form.
struct Form(Vec<u8>);

impl Form {
    /// Begins with the fields of the request that may shape the prompt.
    fn new(capacity: usize, fields: &Map<String, Value>) -> Self {
        let mut form = Self(Vec::with_capacity(capacity));
        for (key, value) in fields {
            if !NOT_IN_PROMPT.contains(&key.as_str()) {
                form.text(key);
                form.json(value);
            }
        }
        form.end();
        form
    }

    fn value(&mut self, value: &Value) {
        match value {
            Value::String(text) => self.text(text),
            other => self.json(other),
        }
    }

    fn part(&mut self, part: &Value) {
        match part.as_object().and_then(plain_text) {
            Some(text) => self.text(text),
            None => self.json(part),
        }
    }

    fn text(&mut self, text: &str) {
        self.push(Kind::Text, text);
    }

    fn json(&mut self, value: &impl serde::Serialize) {
        // Values that were read from JSON always serialize.
        self.push(Kind::Json, &serde_json::to_string(value).unwrap_or_default());
    }

    fn end(&mut self) {
        self.push(Kind::End, "");
    }

    fn push(&mut self, kind: Kind, content: &str) {
        self.0.push(kind as u8);
        let mut rest = content.as_bytes();
        while let Some(at) = rest.iter().position(|it| *it == MARK) {
            self.0.extend_from_slice(&rest[..at]);
            self.0.extend_from_slice(&[MARK, ESCAPED]);
            rest = &rest[at + 1..];
        }
        self.0.extend_from_slice(rest);
        self.0.extend_from_slice(&[MARK, STOP]);
    }
}

/// The text of a content part that is nothing but text.
fn plain_text(part: &Map<String, Value>) -> Option<&str> {
    let is_text = part.len() == 2 && part.get("type").is_some_and(|it| it == "text");
    part.get("text").filter(|_| is_text).and_then(Value::as_str)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    // serde_json bounds the nesting (128 levels), so that a deep body can't exhaust the stack.
    let parsed = serde_json::from_slice(body).and_then(|Unique(it)| serde_json::from_value(it));
    parsed.map_err(|err| malformed(&format!("body: {err}")))
}

fn malformed(message: &str) -> Failure {
    Failure::new(Code::RequestMalformed, message)
}
