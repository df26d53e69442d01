//! Answers under way: from a job's tokens to a stream or a whole answer.

use std::time::Duration;

use hyper::{StatusCode, body::Bytes};
use tokio::sync::mpsc;

use crate::{
    engine::{
        Cut,
        batch::Out,
        text::{self, Endpoint, Prompt, Usage},
    },
    http::{self, Reply},
};

/// Time between the last event and a cut, so that the event is on its way before.
const FLUSH: Duration = Duration::from_millis(20);

/// An answer under way.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) endpoint: Endpoint,
    pub(crate) model: String,
    pub(crate) prompt: Prompt,
    pub(crate) prompt_tokens: u32,
    pub(crate) resume_at: u32,
    pub(crate) cut: Option<Cut>,
}

impl Stream {
    /// Waits until the job runs, then answers as a stream or whole.
    pub(crate) async fn reply(self, mut tokens: mpsc::Receiver<Out>, as_stream: bool) -> Reply {
        let Some(Out::Started { cached }) = tokens.recv().await else {
            return Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "it did not run")
                .with("retry-after", 1);
        };
        if as_stream {
            let (chunks, body) = mpsc::channel(1);
            tokio::spawn(self.send_events(tokens, chunks, cached));
            return Reply::events(body);
        }
        self.reply_whole(tokens, cached).await
    }

    /// Answers a resume that asks for nothing more.
    pub(crate) fn reply_done() -> Reply {
        Reply::bytes(StatusCode::OK, DONE).with("content-type", "text/event-stream")
    }

    async fn reply_whole(self, mut tokens: mpsc::Receiver<Out>, cached: u32) -> Reply {
        let mut last = 0;
        while let Some(out) = tokens.recv().await {
            if let Out::Token(number) = out {
                last = number;
            }
        }
        if self.cut.is_some() {
            return Reply::Cut;
        }
        if last < self.prompt.answer {
            return Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "cancelled");
        }
        let usage = self.usage(cached, last);
        Reply::json(&text::whole(self.endpoint, &self.model, &self.prompt, usage))
    }

    async fn send_events(
        self,
        mut tokens: mpsc::Receiver<Out>,
        chunks: mpsc::Sender<Result<Bytes, http::Cut>>,
        cached: u32,
    ) {
        let mut last = self.resume_at;
        if self.cuts_after(last) {
            return cut_off(&chunks).await;
        }
        loop {
            let out = tokio::select! {
                out = tokens.recv() => out,
                // The reader is gone; dropping `tokens` ends the job.
                () = chunks.closed() => return,
            };
            let Some(Out::Token(number)) = out else { break };
            last = number;
            let is_edge = number == self.resume_at + 1 || number == self.prompt.answer;
            let usage = is_edge.then(|| self.usage(cached, number));
            let event = text::event(self.endpoint, &self.model, &self.prompt, number, usage);
            if chunks.send(Ok(Bytes::from(event))).await.is_err() {
                return;
            }
            if self.cuts_after(last) {
                return cut_off(&chunks).await;
            }
        }
        if last == self.prompt.answer {
            let _ = chunks.send(Ok(Bytes::from_static(DONE.as_bytes()))).await;
        }
    }

    fn cuts_after(&self, last: u32) -> bool {
        match self.cut {
            Some(Cut::AfterTokens(tokens)) => tokens <= last,
            Some(Cut::BeforeDone) => last == self.prompt.answer,
            Some(Cut::BeforeRun) | None => false,
        }
    }

    fn usage(&self, cached: u32, completion: u32) -> Usage {
        Usage { prompt: self.prompt_tokens, cached, completion }
    }
}

/// End of a stream.
const DONE: &str = "data: [DONE]\n\n";

async fn cut_off(chunks: &mpsc::Sender<Result<Bytes, http::Cut>>) {
    tokio::time::sleep(FLUSH).await;
    let _ = chunks.send(Err(http::Cut)).await;
}
