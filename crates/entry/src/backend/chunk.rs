//! The fields of an answer's JSON that decisions need.

use serde::Deserialize;

/// End of a stream's data.
pub(crate) const DONE: &str = "[DONE]";

/// A stream's chunk, or a whole answer, as far as it matters here.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: Option<u32>,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Debug, Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<u32>,
}

impl Chunk {
    /// Reads the fields out of `json`; `None` when it isn't an answer's object.
    pub(crate) fn parse(json: &[u8]) -> Option<Self> {
        serde_json::from_slice(json).ok()
    }

    /// Whether generation ended with this chunk.
    pub(crate) fn finished(&self) -> bool {
        self.choices.iter().any(|it| it.finish_reason.is_some())
    }

    /// Whether the chunk reports an error in place of text.
    pub(crate) fn failed(&self) -> bool {
        self.error.is_some()
    }

    /// Prompt tokens taken from the cache, when the server said.
    pub(crate) fn cached_tokens(&self) -> Option<u32> {
        self.usage.as_ref()?.prompt_tokens_details.as_ref()?.cached_tokens
    }

    /// Tokens generated so far, when the server said.
    pub(crate) fn completion_tokens(&self) -> Option<u32> {
        self.usage.as_ref()?.completion_tokens
    }
}
