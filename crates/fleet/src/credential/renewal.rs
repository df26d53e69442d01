//! Schedule for replacing a certificate before it expires.

use std::time::Duration;

use shallotlead_base::time::Time;

/// How long a new certificate is published before it is used; every instance has read it by then.
const PUBLICATION_TIME: Duration = Duration::from_secs(180);
/// How long the old certificate stays published after that, for the connections that it
/// established.
const OVERLAP: Duration = Duration::from_secs(3_600);

/// The next step of a renewal.
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
    /// Schedules renewals of certificates with `lifetime`, the first of which was issued at
    /// `issued_at`.
    pub fn new(lifetime: Duration, issued_at: Time) -> Self {
        Self { lifetime, issued_at, stage: Stage::Fresh }
    }

    /// The step due at `now`; `is_published` says whether the platform holds what was published
    /// last.
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
                // Guards against an outage that outlasts the certificate: an instance that waits
                // for the platform would be refused by all. Peers accept unpublished certificates
                // during an outage.
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
