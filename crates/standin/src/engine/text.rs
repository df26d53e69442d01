//! What is asked of the engine, and the text it answers: a function of the prompt alone.

use serde::Deserialize;
use serde_json::{Value, json};
use shallotlead_base::hash;

/// Which call was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// Body of a call, as far as the engine reads it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Ask {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) messages: Option<Value>,
    #[serde(default)]
    pub(crate) prompt: Option<Value>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) n: Option<u32>,
    /// The end user, as the protocol calls it: what cached blocks are marked with.
    #[serde(default)]
    pub(crate) user: String,
}

impl Ask {
    /// The prompt; `None` when the body holds none for this endpoint.
    pub(crate) fn prompt(&self, endpoint: Endpoint) -> Option<Prompt> {
        let prompt = match endpoint {
            Endpoint::Chat => self.messages.as_ref().filter(|it| it.is_array()),
            Endpoint::Completion => self.prompt.as_ref().filter(|it| !it.is_null()),
        };
        let text = prompt?.to_string();
        let most = self.max_completion_tokens.or(self.max_tokens).unwrap_or(u32::MAX);
        Some(Prompt::new(text.as_bytes(), most))
    }
}

/// A prompt, and how long its answer is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    hash: u64,
    /// Tokens of the prompt, estimated from its bytes.
    pub(crate) tokens: u32,
    /// Tokens of the answer.
    pub(crate) answer: u32,
    /// Whether the answer ends because of the caller's bound.
    pub(crate) is_cut: bool,
}

impl Prompt {
    fn new(text: &[u8], most: u32) -> Self {
        let hash = hash::stable(text);
        let own = SHORTEST + u32::try_from(hash % u64::from(SPREAD)).unwrap_or(0);
        let most = most.max(1);
        let tokens = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX).max(1);
        Self { hash, tokens, answer: own.min(most), is_cut: most < own }
    }

    /// Token `number` of the answer, from 1.
    pub(crate) fn token(&self, number: u32) -> String {
        let word = hash::seeded(&number.to_le_bytes(), self.hash);
        let letter = |shift: u32| {
            let index = (word >> shift) % u64::from(ALPHABET);
            char::from(b'a' + u8::try_from(index).unwrap_or(0))
        };
        format!(" {}{}{}{}", letter(0), letter(8), letter(16), letter(24))
    }

    /// Why the answer ends.
    pub(crate) fn finish_reason(&self) -> &'static str {
        if self.is_cut { "length" } else { "stop" }
    }
}

/// Tokens of the shortest answer that no bound cuts.
const SHORTEST: u32 = 24;
/// Answers are up to this many tokens longer.
const SPREAD: u32 = 40;
const BYTES_PER_TOKEN: usize = 4;
const ALPHABET: u32 = 26;

/// The tokens that the engine answers to a call with this body, whichever engine runs it. `None`
/// when the body is no call.
pub fn answer(endpoint: Endpoint, body: &Value) -> Option<Vec<String>> {
    let ask: Ask = serde_json::from_value(body.clone()).ok()?;
    let prompt = ask.prompt(endpoint)?;
    Some((1..=prompt.answer).map(|it| prompt.token(it)).collect())
}

/// Token counts as the protocol shows them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) prompt: u32,
    pub(crate) cached: u32,
    pub(crate) completion: u32,
}

impl Usage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// One event of a stream: `id:` and `data:` of token `number`. The first event of the stream and
/// the last token's hold usage.
pub(crate) fn event(
    endpoint: Endpoint,
    model: &str,
    prompt: &Prompt,
    number: u32,
    usage: Option<Usage>,
) -> String {
    let text = prompt.token(number);
    let finish = (number == prompt.answer).then(|| prompt.finish_reason());
    let choice = match endpoint {
        Endpoint::Chat => {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
        }
        Endpoint::Completion => json!({ "index": 0, "text": text, "finish_reason": finish }),
    };
    let object = match endpoint {
        Endpoint::Chat => "chat.completion.chunk",
        Endpoint::Completion => "text_completion",
    };
    let mut chunk = json!({
        "id": format!("{:016x}", prompt.hash),
        "object": object,
        "created": 0,
        "model": model,
        "choices": [choice],
    });
    if let Some(usage) = usage {
        chunk["usage"] = usage.json();
    }
    format!("id: {number}\ndata: {chunk}\n\n")
}

/// A whole answer.
pub(crate) fn whole(endpoint: Endpoint, model: &str, prompt: &Prompt, usage: Usage) -> Value {
    let text: String = (1..=prompt.answer).map(|it| prompt.token(it)).collect();
    let finish = prompt.finish_reason();
    let (object, choice) = match endpoint {
        Endpoint::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
        ),
        Endpoint::Completion => {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
        }
    };
    json!({
        "id": format!("{:016x}", prompt.hash),
        "object": object,
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": usage.json(),
    })
}
