//! Summing up the versions in force in a data centre.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    class::Class,
    membership::{
        Membership,
        fact::{Fact, Status},
        message::Message,
    },
    outbox::Outbox,
};

/// How often a new version in force is told to the instance that sums up the data centre.
pub(super) const VERSION_REPORTS: u32 = 3;
/// Time between those.
const VERSION_REPORT_RETRY: Duration = Duration::from_millis(700);
/// Time between further ones.
const VERSION_REPORT_INTERVAL: Duration = Duration::from_secs(10);

impl Membership {
    /// Tells the version in force here to the instance that sums up the data centre, a few times, as
    /// each may be lost.
    pub(super) fn report_version(&mut self, now: Time, out: &mut Outbox<'_>) {
        self.version_reports_left = self.version_reports_left.saturating_sub(1);
        self.due.version_report = now
            + if 0 < self.version_reports_left {
                VERSION_REPORT_RETRY
            } else {
                VERSION_REPORT_INTERVAL
            };
        if let Some(to) = self.status_owner.clone().filter(|it| *it != self.me.name) {
            let beat = self.take_piggyback(now, 0, 0);
            out.send(&to, Message::Heartbeat(beat), Class::Datagram);
        }
    }

    /// Sums up this data centre's versions, if that falls to this instance.
    pub(super) fn update_status(&mut self, now: Time) {
        if self.status_owner.as_ref() != Some(&self.me.name) {
            return;
        }
        // Guards against a status that runs ahead: an operator would be told that a change is in force
        // at an instance that was never heard. One whose version isn't known counts as without table.
        let members = self.view.live_in_centre(&self.me.centre);
        let versions = members.map(|it| self.version(&it.name).unwrap_or_default());
        let versions = versions.collect::<Vec<_>>();
        let known = self.roster.status(&self.me.centre);
        let status = Status {
            centre: self.me.centre.clone(),
            sequence: known.map_or(1, |it| it.sequence + 1),
            live: self.view.live_in_centre(&self.me.centre).count() as u32,
            lowest: versions.iter().min().copied().unwrap_or_default(),
            highest: versions.iter().max().copied().unwrap_or_default(),
        };
        let same = known.is_some_and(|it| {
            (it.live, it.lowest, it.highest) == (status.live, status.lowest, status.highest)
        });
        if !same {
            let fact = Fact::Centre(status);
            self.apply(now, &fact);
            self.enqueue(now, fact);
        }
    }
}
