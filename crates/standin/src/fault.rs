//! Faults that every stand-in can show.

use std::{sync::Mutex, time::Duration};

use hyper::StatusCode;

use crate::http::{self, Reply};

/// How a stand-in treats its calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It answers 503 with `Retry-After`: no call has an effect.
    Down,
    /// It takes calls and never answers. No call has an effect.
    Silent,
}

/// Faults in force.
#[derive(Debug, Default)]
pub(crate) struct Fault {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    mode: Mode,
    delay: Duration,
}

impl Fault {
    /// Sets the mode.
    pub(crate) fn set_mode(&self, mode: Mode) {
        http::lock(&self.state).mode = mode;
    }

    /// Sets the delay of each call.
    pub(crate) fn set_delay(&self, delay: Duration) {
        http::lock(&self.state).delay = delay;
    }

    /// Delays the call; returns the reply when the call goes no further.
    pub(crate) async fn gate(&self) -> Option<Reply> {
        let State { mode, delay } = *http::lock(&self.state);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match mode {
            Mode::Up => None,
            Mode::Down => {
                let reply = Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "down");
                Some(reply.with("retry-after", 1))
            }
            Mode::Silent => std::future::pending().await,
        }
    }
}
