//! Reports that lag.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::http;

/// A value as it was a while ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    samples: Mutex<VecDeque<(Instant, T)>>,
}

impl<T: Clone> Lagged<T> {
    /// A value that shows after `lag`.
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, samples: Mutex::default() }
    }

    /// Samples the value for as long as it is polled.
    pub(crate) async fn sample_forever(&self, value: impl Fn() -> T) {
        http::lock(&self.samples).clear();
        loop {
            self.sample(value());
            tokio::time::sleep((self.lag / SAMPLES).max(FASTEST)).await;
        }
    }

    /// The newest sample that is as old as the lag, else the oldest one; and its age.
    pub(crate) fn get(&self) -> Option<(T, Duration)> {
        let samples = http::lock(&self.samples);
        let (at, value) =
            samples.iter().rev().find(|it| self.lag <= it.0.elapsed()).or(samples.front())?;
        Some((value.clone(), at.elapsed()))
    }

    fn sample(&self, value: T) {
        let mut samples = http::lock(&self.samples);
        samples.push_back((Instant::now(), value));
        while samples.get(1).is_some_and(|it| self.lag <= it.0.elapsed()) {
            samples.pop_front();
        }
    }
}

/// Samples in one lag.
const SAMPLES: u32 = 4;
/// Shortest time between samples.
const FASTEST: Duration = Duration::from_millis(5);
