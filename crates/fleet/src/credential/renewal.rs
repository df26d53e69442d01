//! When to replace a certificate before it expires.

use std::time::Duration;

use shallotlead_base::time::Time;

/// How long a new certificate is published before it is used: every instance has read it by then.
const PUBLICATION_TIME: Duration = Duration::from_secs(180);
/// How long the old certificate stays published after that, for the connections that it made.
const OVERLAP: Duration = Duration::from_secs(3_600);

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Make a new certificate and publish it beside the old one.
    Announce,
    /// Use the new certificate for every connection from now on.
    Use,
    /// Publish the new certificate alone.
    Withdraw,
}

/// Replaces a certificate at two thirds of its lifetime.
#[derive(Debug)]
pub struct Renewal {
    lifetime: Duration,
    issued_at: Time,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Fresh,
    Announced { issued_at: Time, published: Option<Time> },
    Overlapping { since: Time },
}

impl Renewal {
    /// Renewals of certificates of `lifetime`, the first of which was made at `made`.
    pub fn new(lifetime: Duration, issued_at: Time) -> Self {
        Self { lifetime, issued_at, stage: Stage::Fresh }
    }

    /// What to do at `now`, given whether the platform holds what was announced last.
    pub fn tick(&mut self, is_published: bool, now: Time) -> Option<Step> {
        match &mut self.stage {
            Stage::Fresh if self.issued_at + self.lifetime * 2 / 3 <= now => {
                self.stage = Stage::Announced { issued_at: now, published: None };
                Some(Step::Announce)
            }
            Stage::Fresh => None,
            Stage::Announced { issued_at, published } => {
                if is_published {
                    published.get_or_insert(now);
                }
                let is_known = published.is_some_and(|it| it + PUBLICATION_TIME <= now);
                // Guards against an outage that outlasts the certificate: waiting for the platform,
                // the instance would be refused by all. Peers accept unpublished certificates then.
                let is_late = self.issued_at + self.lifetime * 5 / 6 <= now;
                if !is_known && !is_late {
                    return None;
                }
                self.issued_at = *issued_at;
                self.stage = Stage::Overlapping { since: now };
                Some(Step::Use)
            }
            Stage::Overlapping { since } if *since + OVERLAP.min(self.lifetime / 6) <= now => {
                self.stage = Stage::Fresh;
                Some(Step::Withdraw)
            }
            Stage::Overlapping { .. } => None,
        }
    }
}
