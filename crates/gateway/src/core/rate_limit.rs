//! Rates that backend servers name in their answers.

use crate::{core::Core, dialect::RateLimit, pool};

impl Core {
    /// A server's answer says how many requests it takes, or doesn't.
    pub(crate) fn note_rate_limit(&mut self, id: pool::Id, word: RateLimit) {
        let rate = match word {
            RateLimit::PerSecond(rate) => Some(rate),
            RateLimit::None => None,
            RateLimit::Unreadable => {
                self.stats.rate_limit_unreadable();
                return;
            }
        };
        let server = self.pool.get_mut(id);
        let before = std::mem::replace(&mut server.rate_limit, rate);
        if before != rate {
            self.journal
                .line(self.now, "rate_limit")
                .text("server", &self.pool.get(id).name)
                .text("per_second", &shown(rate))
                .text("before", &shown(before));
        }
    }
}

fn shown(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".into(), |it| format!("{it:.2}"))
}
