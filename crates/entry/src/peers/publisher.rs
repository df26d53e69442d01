//! The thread that publishes this instance's certificate and tells the link whom to trust.

#[cfg(test)]
mod tests;

use std::{
    io,
    sync::{
        Arc, Weak,
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread,
    time::Duration,
};

use shallotlead_base::{name, store::Reply, time::Time};
use shallotlead_fleet::{
    credential::{
        self, Action, Credential,
        renewal::{Renewal, Step},
    },
    view::Member,
};
use shallotlead_link::{
    fingerprint::Fingerprint,
    handle,
    identity::Identity,
    trust::{Trust, Unpublished},
};
use shallotlead_platform::client;

use crate::shell::clock::Clock;

/// How often the link is asked whether it refused somebody.
const LOOK: Duration = Duration::from_millis(250);

/// What the thread is opened with.
pub(crate) struct Config {
    /// This instance.
    pub(crate) member: Member,
    /// Seed of the jitter.
    pub(crate) seed: u64,
    /// How long the platform must have been reachable before unpublished peers are refused.
    pub(crate) grace: Duration,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The link whose trust is kept.
    pub(crate) link: handle::Handle,
    /// The platform's object API.
    pub(crate) platform: client::Handle,
}

/// The running thread. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Publisher {
    tx: Arc<Sender<Message>>,
}

#[derive(Debug)]
enum Message {
    Members(Vec<name::Instance>),
    Reply(u64, Reply),
}

impl Publisher {
    /// Starts the thread.
    pub(crate) fn spawn(config: Config) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let tx = Arc::new(tx);
        // Calls under way hold no sender, so that the thread ends at once when this is dropped, and
        // lets go of the link.
        let own = Arc::downgrade(&tx);
        let run = move || Task::new(config, own).run(&rx);
        thread::Builder::new().name("publisher".to_owned()).spawn(run)?;
        Ok(Self { tx })
    }

    /// Tells which instances live.
    pub(crate) fn set_members(&self, members: Vec<name::Instance>) {
        // The thread has ended only if it panicked; the trust it set last stays.
        let _ = self.tx.send(Message::Members(members));
    }
}

/// State of the thread.
struct Task {
    config: Config,
    own: Weak<Sender<Message>>,
    credential: Credential,
    renewal: Renewal,
    /// The certificate that is announced and not used yet.
    renewed: Option<Identity>,
    /// Peers that the link had refused when it was last asked.
    refused: u64,
}

impl Task {
    fn new(config: Config, own: Weak<Sender<Message>>) -> Self {
        let Config { member, seed, grace, clock, link, .. } = &config;
        let fingerprints = vec![link.fingerprint().0];
        let credential =
            Credential::new(member.name.clone(), member.incarnation, fingerprints, *grace, *seed);
        let renewal = Renewal::new(link.lifetime(), clock.now());
        let refused = link.unpublished();
        Self { config, own, credential, renewal, renewed: None, refused }
    }

    fn run(mut self, rx: &Receiver<Message>) {
        loop {
            let now = self.config.clock.now();
            self.look(now);
            self.renew(now);
            let (actions, due) = self.credential.tick(now);
            for action in actions {
                self.carry_out(action);
            }
            match rx.recv_timeout(due.since(now).min(LOOK)) {
                Ok(Message::Members(members)) => self.credential.set_members(members),
                Ok(Message::Reply(number, reply)) => {
                    self.credential.handle_reply(number, reply, self.config.clock.now());
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn look(&mut self, now: Time) {
        let refused = self.config.link.unpublished();
        if refused != self.refused {
            self.refused = refused;
            self.credential.record_refusal(now);
        }
    }

    fn renew(&mut self, now: Time) {
        let link = &self.config.link;
        let step = self.renewal.tick(self.credential.is_published(), now);
        let current = link.fingerprint().0;
        match step {
            Some(Step::Announce) => match link.issue() {
                Ok(Some(identity)) => {
                    let fingerprints = vec![current, identity.fingerprint().0];
                    self.credential.set_fingerprints(fingerprints, now);
                    self.renewed = Some(identity);
                }
                Ok(None) => log::info!("the certificate came from files and is not renewed"),
                Err(err) => log::error!("the certificate cannot be renewed: {err}"),
            },
            Some(Step::Use) => {
                let Some(identity) = self.renewed.take() else { return };
                match link.rotate(&identity) {
                    Ok(()) => log::info!("certificate {} is in use", identity.fingerprint()),
                    Err(err) => log::error!("the new certificate cannot be used: {err}"),
                }
            }
            Some(Step::Withdraw) => self.credential.set_fingerprints(vec![current], now),
            None => {}
        }
    }

    fn carry_out(&self, action: Action) {
        let Config { member, link, platform, .. } = &self.config;
        match action {
            Action::Call(number, call) => {
                let own = self.own.clone();
                platform.submit(call, move |reply| {
                    if let Some(tx) = own.upgrade() {
                        // The thread has ended.
                        let _ = tx.send(Message::Reply(number, reply));
                    }
                });
            }
            Action::Trust(trust) => {
                let (published, strict) = (trust.published.len(), trust.is_strict);
                log::info!("trust published={published} strict={strict}");
                link.set_trust(translate(trust));
            }
            Action::Superseded(other) => {
                log::error!("another process runs as {}, incarnation={other}", member.name);
            }
        }
    }
}

fn translate(trust: credential::Trust) -> Trust {
    let published = trust
        .published
        .into_iter()
        .map(|(name, it)| (name, it.into_iter().map(Fingerprint).collect()));
    Trust {
        published: published.collect(),
        unpublished: if trust.is_strict { Unpublished::Refuse } else { Unpublished::Accept },
    }
}
