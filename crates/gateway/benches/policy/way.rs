//! Ways to choose a server: the product's, and what it is compared with.

use std::time::Duration;

use shallotlead_base::{hash, time::Time};
use shallotlead_gateway::{
    admission::Admission,
    placement::{self, Choice, Criteria, PrefixIndex, Shortage},
    pool::{self, Pool},
};

use crate::site::Prompt;

/// Longest time that a caller waits.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A way to choose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// One after another.
    RoundRobin,
    /// Fewest requests: the last report, and own ones.
    LeastLoad,
    /// The server that rendezvous hashing gives for the shared prefix.
    Hashing,
    /// The product's placement and admission.
    Shallotlead,
}

pub(crate) const ALL: [Way; 4] = [Way::RoundRobin, Way::LeastLoad, Way::Hashing, Way::Shallotlead];

/// What became of a choice.
pub(crate) enum Chosen {
    Server(Choice),
    Refused,
    /// None is ready; look again.
    Later,
}

/// One instance: what it knows, and its own turn.
#[derive(Default)]
pub(crate) struct Instance {
    pub(crate) pool: Pool,
    pub(crate) memory: PrefixIndex,
    turn: usize,
}

impl Way {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
            Self::Hashing => "hashing",
            Self::Shallotlead => "shallotlead",
        }
    }
}

impl Instance {
    /// Chooses a server for `prompt`.
    pub(crate) fn choose(
        &mut self,
        way: Way,
        now: Time,
        wish: &Criteria<'_>,
        prompt: &Prompt,
        shortest_aim: Duration,
        random: u64,
    ) -> Chosen {
        if way != Way::Shallotlead {
            return self.simple(way, now, wish);
        }
        let admission = Admission {
            latency_target: prompt.aim,
            deadline: Some(TIMEOUT),
            timeout: TIMEOUT,
            shortest_target: shortest_aim,
            is_new_prompt: true,
        };
        match placement::choose(&self.pool, &self.memory, now, wish, random) {
            Ok(choice) if admission.refuses(&choice) => Chosen::Refused,
            Ok(choice) => Chosen::Server(choice),
            Err(Shortage::OldWeights | Shortage::Limited { .. }) => Chosen::Refused,
            Err(Shortage::NoServer | Shortage::NoneReady) => Chosen::Later,
        }
    }

    fn simple(&mut self, way: Way, now: Time, wish: &Criteria<'_>) -> Chosen {
        let is_ready = |it: &(pool::Id, &pool::Server)| {
            !it.1.is_switching(now) && !wish.excluded.contains(&it.0)
        };
        let ready: Vec<_> = self.pool.usable(wish.service).filter(is_ready).collect();
        let key = wish.parts.iter().rev().nth(1).map_or(0, |it| it.id);
        self.turn += 1;
        let best = match way {
            Way::RoundRobin => ready.get(self.turn % ready.len().max(1)),
            Way::Hashing => ready.iter().max_by_key(|it| hash::weight(&it.1.name, key)),
            Way::LeastLoad | Way::Shallotlead => ready.iter().min_by_key(|it| {
                let told = it.1.load.map_or(0, |it| it.0.running + it.0.waiting);
                (told + it.1.inflight, it.0)
            }),
        };
        let all = wish.parts.iter().map(|it| it.tokens).sum();
        best.map_or(Chosen::Later, |it| {
            Chosen::Server(Choice {
                server: it.0,
                weights: wish.model.and_then(|model| it.1.version(model)),
                uncached_tokens: all,
                added_tokens: all,
                wait_ms: 0.0,
                first_token_ms: 0.0,
                score: 0.0,
                fetch_from: None,
                save_to: None,
                candidates: ready.len() as u32,
            })
        })
    }
}
