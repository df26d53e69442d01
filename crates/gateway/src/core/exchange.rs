//! One caller's request, from its head to its final answer.

use std::{cell::OnceCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    adapter::{Part, RequestInfo},
    config::{Execution, Organisation, Route},
    core::{
        Core, Timer,
        attempt::Attempt,
        build::{Binding, Evidence},
        check::Check,
        quota::QuotaWait,
        rate_limit::PermitWait,
        refusal::Refusal,
        reply::Reply,
        retry::Retry,
        standby::Standby,
    },
    deadline::Deadline,
    http::{
        head::{Request, Response},
        write,
    },
    memory::{Account, Body, Hold},
    net::Key,
    placement::{self, Shortage},
    pool::{self, Pool},
    quarantine::Identity,
};

/// Time that the next event of an interrupted stream needs to reach its caller before that one leaves.
const RESUME_MARGIN: Duration = Duration::from_millis(200);
/// Time that an answer needs to reach its caller before the deadline.
const DELIVERY_MARGIN: Duration = Duration::from_millis(10);
/// Length of the unsent part of an answer from which on it is counted when it arrives, bytes. Shorter ones are counted
/// with each sweep.
const MIN_COUNTED_BYTES: usize = 16 * 1024;
/// Most parts of a prompt that may be found to crash servers, to bound what one request adds.
const MAX_BLAMED_PARTS: usize = 32;
/// A caller's request and the state of its answer.
pub(crate) struct Exchange {
    /// Distinguishes it from other exchanges at the same index.
    pub(crate) serial: u64,
    pub(crate) caller: Key,
    pub(crate) head: Request,
    /// Shared with the connections that it is sent on.
    pub(crate) body: Rc<Body>,
    pub(crate) info: RequestInfo,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Time,
    /// Time after which an answer is of no use, set by the caller or the route.
    pub(crate) deadline: Time,
    /// The servers on which it may have run, in order.
    pub(crate) ran_at: Vec<pool::Id>,
    /// Number of servers that it was sent to, whatever the result.
    pub(crate) attempts_made: u8,
    /// How often its stream was sent again after a server declined it.
    pub(crate) resends: u8,
    /// How often its stream was migrated from a working server.
    pub(crate) migrations: u8,
    /// How often it was handed over to another instance.
    pub(crate) handovers: u8,
    /// Servers that declined it or failed.
    pub(crate) excluded: Vec<pool::Id>,
    /// Identifies the request when it is repeated; computed on first use.
    identity: OnceCell<Identity>,
    /// Identify the parts that other prompts may share; computed on first use.
    parts: OnceCell<Box<[Identity]>>,
    /// The build of the servers at which its stream may go on.
    pub(crate) binding: Binding,
    /// How the build of a stream that it takes up was found.
    pub(crate) evidence: Option<Evidence>,
    /// Address of the KV cache copy with which the next attempt continues.
    pub(crate) resume_from: Option<SocketAddr>,
    /// The attempt whose answer is awaited or forwarded.
    pub(crate) attempt: Option<Attempt>,
    /// An earlier attempt that is still open.
    pub(crate) standby: Option<Standby>,
    /// Set while the stream has lost its server and waits to be sent again.
    pub(crate) retry: Option<Retry>,
    /// When its last retry was drawn, and why.
    pub(crate) drawn: Option<(Time, &'static str)>,
    /// Set while it waits for a permit of a rate-limited server.
    pub(crate) permit_wait: Option<PermitWait>,
    /// Set while it waits for units of its organisation's quota.
    pub(crate) quota_wait: Option<QuotaWait>,
    /// How many times an owner of that quota was asked for it.
    pub(crate) quota_questions: usize,
    /// Units of its organisation's quota that it has taken.
    pub(crate) quota_units: Option<f64>,
    pub(crate) delivery: Delivery,
    /// Whether its stream has stalled.
    pub(crate) stall_check: Check,
    /// The error with which a server answered, to be forwarded unless another attempt brings an answer.
    pub(crate) kept_error: Option<(Response, Vec<u8>)>,
}

/// Result of matching a request to the configuration.
struct Admitted {
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    service: Arc<str>,
}

/// How much of the answer was sent to the caller.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Whether the head was sent.
    pub(crate) has_begun: bool,
    /// Whether the answer is too long to be buffered and is forwarded as it arrives.
    pub(crate) is_passed_through: bool,
    /// Number of the last event that was sent.
    pub(crate) last_event: Option<u64>,
    /// Received bytes that are not sent yet: an incomplete event, or part of a whole answer.
    pub(crate) pending: Vec<u8>,
    /// Covers them, once they are many.
    pub(crate) hold: Option<Hold>,
    /// When the last piece was sent.
    pub(crate) last_sent: Time,
    /// When the caller had last taken all that it was sent, so that reading from the server went on.
    pub(crate) resumed: Time,
    /// The longest time between two pieces.
    pub(crate) longest_pause: Duration,
    /// When the first piece was sent.
    pub(crate) first_sent: Option<Time>,
}

impl Delivery {
    /// Records what the bytes take that are not sent yet.
    pub(crate) fn measure(&mut self, memory: &Account) {
        let bytes = self.pending.capacity();
        if MIN_COUNTED_BYTES <= bytes || self.hold.is_some() {
            self.hold.get_or_insert_with(|| memory.empty_hold()).record(bytes);
        }
    }
}

impl Exchange {
    /// Whether it may be sent again. Another server's answer can't be joined to a part of one that isn't a stream of
    /// events.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.execution == Execution::Idempotent && !self.delivery.is_passed_through
    }

    /// Bytes that its buffers take, without its own body.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let kept = self.kept_error.as_ref().map_or(0, |it| it.1.capacity());
        let standby = self.standby.as_ref().map_or(0, Standby::buffered_bytes);
        let counted = self.delivery.hold.as_ref().map_or(0, Hold::bytes);
        self.delivery.pending.capacity().saturating_sub(counted) + kept + standby
    }

    /// Whether an answer of unknown length is sent to its caller in chunks. Otherwise it ends with the connection.
    pub(crate) fn is_chunked(&self) -> bool {
        self.head.is_http11
    }

    /// Appends a piece of an answer of unknown length.
    pub(crate) fn write_piece(&self, out: &mut Vec<u8>, piece: &[u8]) {
        match self.is_chunked() {
            true => write::chunk(out, piece),
            false => out.extend_from_slice(piece),
        }
    }

    /// Whether it may have run already and must not run again.
    pub(crate) fn is_rerun_forbidden(&self) -> bool {
        !self.ran_at.is_empty() && !self.is_repeatable()
    }

    /// Forgets the last attempt at `server`, which didn't run.
    pub(crate) fn forget_run(&mut self, server: pool::Id) {
        if let Some(position) = self.ran_at.iter().rposition(|it| *it == server) {
            self.ran_at.remove(position);
        }
    }

    /// Whether its route allows another attempt. A server that has ended runs nothing any more, so that attempts there
    /// don't count.
    pub(crate) fn has_attempts_left(&self, pool: &Pool) -> bool {
        0 < self.attempts_left(pool)
    }

    /// Number of further attempts that its route allows. Another instance to which it was handed over may have used
    /// all of them.
    pub(crate) fn attempts_left(&self, pool: &Pool) -> u8 {
        if self.ran_at.iter().any(|it| pool.get(*it).is_instance) {
            return 0;
        }
        let counted = self.ran_at.iter().filter(|it| !pool.get(**it).has_ended).count();
        let counted = u8::try_from(counted).unwrap_or(u8::MAX);
        let allowed = self.info.handover.unwrap_or(u8::MAX).min(self.route.max_attempts);
        allowed.saturating_sub(counted)
    }

    /// Its priority: the organisation's, else the route's.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }

    /// The organisation, if it shares no cached prompts with others.
    pub(crate) fn cache_owner(&self) -> Option<&str> {
        self.organisation.as_ref().filter(|it| it.is_isolated).map(|it| &*it.name)
    }

    /// Whether its current attempt is at the server.
    pub(crate) fn is_at(&self, server: pool::Id) -> bool {
        self.attempt.as_ref().is_some_and(|it| it.server == server)
    }

    /// The response head of the current attempt, once received.
    pub(crate) fn reply(&self) -> Option<&Reply> {
        self.attempt.as_ref()?.reply.as_ref()
    }

    pub(crate) fn id(&self) -> &str {
        self.info.id.as_deref().unwrap_or_default()
    }

    /// Identifies the request when it is repeated.
    pub(crate) fn identity(&self) -> &Identity {
        let organisation = self.organisation.as_ref().map_or("", |it| &*it.name);
        let Self { head, info, body, .. } = self;
        let (method, target) = (&head.method, &head.target);
        let identity =
            || Identity::of_segments(organisation, method, &info.host, target, body.iter());
        self.identity.get_or_init(identity)
    }

    /// Identify the parts of its prompt that other prompts may share, in order.
    pub(crate) fn parts(&self) -> &[Identity] {
        self.parts.get_or_init(|| {
            let Some(model) = &self.info.model else { return Box::default() };
            let shared = self.shared_parts().iter().take(MAX_BLAMED_PARTS);
            shared.map(|it| Identity::of_part(model, it.id)).collect()
        })
    }

    /// The parts that may still crash the attempt's server, which has sent no event yet.
    pub(crate) fn unproven_parts(&self) -> &[Identity] {
        let has_begun = self.attempt.as_ref().is_none_or(|it| it.run.is_some());
        if has_begun { &[] } else { self.parts() }
    }

    /// The parts of its prompt that other prompts may share.
    pub(crate) fn shared_parts(&self) -> &[Part] {
        placement::shared_parts(&self.info.parts)
    }

    /// The ids of the parts that other prompts may share, for logs.
    pub(crate) fn prefix(&self) -> String {
        let ids: Vec<String> =
            self.shared_parts().iter().map(|it| format!("{:x}", it.id)).collect();
        ids.join("/")
    }

    /// When its caller stops waiting.
    pub(crate) fn caller_deadline(&self) -> Deadline {
        let heard = self.arrived.max(self.delivery.last_sent);
        let leaves = heard + self.route.caller_patience.saturating_sub(DELIVERY_MARGIN);
        Deadline { end: self.deadline, next_event: self.route.is_stream.then_some(leaves) }
    }

    /// The most tokens that are left of the answer to a prompt, if known. An event has one token at least.
    pub(crate) fn answer_tokens_left(&self) -> Option<u32> {
        let received = u32::try_from(self.delivery.last_event.unwrap_or(0)).unwrap_or(u32::MAX);
        self.info.max_answer_tokens.map(|it| it.saturating_sub(received))
    }

    /// Until when it may wait for a server or for retry budget.
    pub(crate) fn give_up_at(&self) -> Time {
        match self.delivery.has_begun {
            true => {
                self.delivery.last_sent + self.route.caller_patience.saturating_sub(RESUME_MARGIN)
            }
            false => self.caller_deadline().hold_until(self.arrived),
        }
    }
}

impl Core {
    /// Indices of the chosen exchanges.
    pub(crate) fn exchanges_where(&self, is_chosen: impl Fn(&Exchange) -> bool) -> Vec<usize> {
        self.exchanges.iter().filter(|it| is_chosen(it.1)).map(|it| it.0).collect()
    }

    /// Admits a complete request and dispatches it, or refuses it.
    pub(crate) fn begin_exchange(&mut self, caller: Key, head: Request, body: Body, arrived: Time) {
        let info = self.adapter.parse_request(&head);
        let admitted = self.admit(&head, &info);
        let Admitted { route, organisation, service } = match admitted {
            Ok(it) => it,
            Err(refusal) => {
                self.refuse(caller, &head, &info, refusal, arrived, 0);
                return;
            }
        };
        let bound = info.deadline.map_or(route.timeout, |it| it.min(route.timeout));
        let deadline = arrived + bound.saturating_sub(DELIVERY_MARGIN);
        if !self.can_end(&route, deadline) {
            self.refuse(caller, &head, &info, Refusal::ShuttingDown, arrived, 0);
            return;
        }
        if info.handover.is_none() {
            // The instance that handed it over has counted it.
            self.budget.count_request(self.now, &service);
        }
        let serial = self.allocate_serial();
        let last_event = info.last_event;
        let exchange = Exchange {
            serial,
            caller,
            head,
            body: Rc::new(body),
            info,
            route,
            service,
            organisation,
            arrived,
            deadline,
            ran_at: Vec::new(),
            attempts_made: 0,
            resends: 0,
            migrations: 0,
            handovers: 0,
            excluded: Vec::new(),
            identity: OnceCell::new(),
            parts: OnceCell::new(),
            binding: Binding::Free,
            evidence: None,
            resume_from: None,
            attempt: None,
            standby: None,
            retry: None,
            drawn: None,
            permit_wait: None,
            quota_wait: None,
            quota_questions: 0,
            quota_units: None,
            delivery: Delivery { last_event, ..Delivery::default() },
            stall_check: Check::default(),
            kept_error: None,
        };
        let index = self.exchanges.insert(exchange);
        self.mark_caller_busy(caller, index);
        self.set_timer(deadline, Timer::Exchange(index, serial));
        self.dispatch_resumed(index);
    }

    fn admit(&self, head: &Request, info: &RequestInfo) -> Result<Admitted, Refusal> {
        if self.has_stopped_accepting() {
            return Err(Refusal::ShuttingDown);
        }
        let Some(config) = &self.config else { return Err(Refusal::Starting) };
        let (route, organisation) = config.route(&info.host, head.path(), info.key.as_deref())?;
        let Some(id) = &info.id else { return Err(Refusal::NoId) };
        // A stream goes on at the service that began it.
        let id = info.resumed_id.as_ref().unwrap_or(id);
        let service = route.service(id).ok_or(Refusal::Shortage(Shortage::NoServer))?;
        let service = service.clone();
        Ok(Admitted { route, organisation, service })
    }

    /// Whether a request on `route` can be expected to end before this instance exits.
    fn can_end(&mut self, route: &Route, deadline: Time) -> bool {
        let Some(shutdown) = self.shutdown else { return true };
        let end = shutdown.ends_requests_at();
        let longest = self.answer_times.longest(self.now, &route.name);
        deadline <= end || longest.is_some_and(|it| self.now + it <= end)
    }

    /// Whether the server may have received the request, on a connection that is established.
    pub(crate) fn has_sent(&self, exchange: &Exchange, server: pool::Id) -> bool {
        let mut attempts = exchange.open_attempts().filter(|it| it.server == server);
        attempts.any(|it| !self.is_connecting(it.connection))
    }

    /// Whether the connection is still being established.
    pub(crate) fn is_connecting(&self, key: Key) -> bool {
        self.net.get(key).is_some_and(|it| it.is_connecting())
    }
}
