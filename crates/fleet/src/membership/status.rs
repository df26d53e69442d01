//! Aggregation of the configuration versions in force in a data centre.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    delivery::Delivery,
    membership::{
        Membership,
        fact::{Fact, Status},
        message::Message,
    },
    outbox::Outbox,
};

/// How many times a new version in force is reported to the status owner in quick succession.
pub(super) const VERSION_REPORTS: u32 = 3;
/// Time between these reports.
const VERSION_REPORT_RETRY: Duration = Duration::from_millis(700);
/// Time between further reports.
const VERSION_REPORT_INTERVAL: Duration = Duration::from_secs(10);

impl Membership {
    /// Reports the version in force here to the status owner of the data centre. A new version is
    /// reported several times, as each datagram may be lost.
    pub(super) fn report_version(&mut self, now: Time, out: &mut Outbox<'_>) {
        self.version_reports_left = self.version_reports_left.saturating_sub(1);
        self.due.version_report = now
            + if 0 < self.version_reports_left {
                VERSION_REPORT_RETRY
            } else {
                VERSION_REPORT_INTERVAL
            };
        if let Some(to) = self.status_owner.clone().filter(|it| *it != self.me.name) {
            let piggyback = self.take_piggyback(now, 0, 0);
            out.send(&to, Message::Heartbeat(piggyback), Delivery::Datagram);
        }
    }

    /// Updates this data centre's status, if this instance is its owner, and gossips a change.
    pub(super) fn update_status(&mut self, now: Time) {
        if self.status_owner.as_ref() != Some(&self.me.name) {
            return;
        }
        // An instance whose version isn't known counts as having no table. Otherwise the status would
        // claim that a change is in force at an instance that never reported it.
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
