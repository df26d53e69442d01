//! The budget of memory for what an instance holds for its callers and peers.

mod segments;

use std::{cell::Cell, ops::Deref, rc::Rc};

pub use segments::Segments;

/// Memory of the machine if nothing is known of it: the least of any known deployment.
pub const DEFAULT_MACHINE_BYTES: usize = 100_000_000;
/// Share (1/n) of the machine's memory that may be held. The rest is for the process itself, for what its allocator
/// keeps and for the kernel's buffers, which hold as much again of bodies that are being sent.
const BUDGET_DIVISOR: usize = 2;
/// Share (1/n) of the budget that is left to reading requests, so that they can be answered when bodies have taken the
/// rest.
const READ_RESERVE_DIVISOR: usize = 16;
/// Up to how many bytes that are held requests are read in any case.
const MIN_READ_LIMIT: usize = 256 * 1024;
/// Share (1/n) of the budget that one connection may have received unread, and its bounds in bytes. Below them, a sender
/// would wait for each acknowledgement; above, nothing is gained.
const UNREAD_DIVISOR: usize = 2_048;
const MIN_UNREAD: usize = 16 * 1024;
const MAX_UNREAD: usize = 128 * 1024;

/// What is held of the budget.
#[derive(Clone, Debug)]
pub struct Account {
    /// Bytes that may be held with what is read of requests.
    budget: usize,
    /// Taken by holds.
    held: Rc<Cell<usize>>,
    /// Bytes in buffers that have no holds, as last measured.
    buffered: Rc<Cell<usize>>,
    /// Bytes that the kernel may have received for connections from which more can be read.
    unread: Rc<Cell<usize>>,
    most: usize,
}

/// A part of the budget. Dropping it returns it.
#[derive(Debug)]
pub struct Hold {
    account: Rc<Cell<usize>>,
    bytes: usize,
}

/// A request's body with its part of the budget.
#[derive(Debug)]
pub struct Body {
    bytes: Segments,
    /// Kept until the last user of the body is done with it.
    _hold: Hold,
}

impl Account {
    /// The account of an instance on a machine with `machine_bytes` of memory.
    pub fn new(machine_bytes: usize) -> Self {
        let budget = machine_bytes / BUDGET_DIVISOR;
        Self {
            budget,
            held: Rc::default(),
            buffered: Rc::default(),
            unread: Rc::default(),
            most: 0,
        }
    }

    /// Bytes that may be held of bodies and buffers.
    pub fn limit(&self) -> usize {
        self.budget - self.budget / READ_RESERVE_DIVISOR
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.get().saturating_add(self.buffered.get())
    }

    /// Bytes that the kernel may receive on one connection before they are read. They take the machine's memory as well.
    pub fn unread_limit(&self) -> usize {
        (self.budget / UNREAD_DIVISOR).clamp(MIN_UNREAD, MAX_UNREAD)
    }

    /// Bytes that are held beyond the limit.
    pub fn excess(&self) -> usize {
        self.held().saturating_sub(self.limit())
    }

    /// Whether `bytes` are left. Nothing always is.
    pub fn has_left(&self, bytes: usize) -> bool {
        let taken = self.held().saturating_add(self.unread.get());
        bytes == 0 || taken.saturating_add(bytes) <= self.limit()
    }

    /// Whether no more than half of the budget is held.
    pub fn is_ample(&self) -> bool {
        self.held() <= self.budget / 2
    }

    /// Whether `bytes` may be read of callers' requests.
    pub fn may_read(&self, bytes: usize) -> bool {
        self.held().saturating_add(bytes) <= self.budget.max(MIN_READ_LIMIT)
    }

    /// Takes `bytes`, unless they are not left.
    pub fn take(&mut self, bytes: usize) -> Option<Hold> {
        let mut hold = self.empty_hold();
        self.extend(&mut hold, bytes).then_some(hold)
    }

    /// Extends `hold` to `bytes` if it is less. Returns false if they are not left.
    pub fn extend(&mut self, hold: &mut Hold, bytes: usize) -> bool {
        let more = bytes.saturating_sub(hold.bytes);
        if !self.has_left(more) {
            return false;
        }
        hold.bytes += more;
        self.held.set(self.held.get() + more);
        self.most = self.most.max(self.held());
        true
    }

    /// A part of nothing of what the kernel has received.
    pub fn empty_unread(&self) -> Hold {
        Hold { account: Rc::clone(&self.unread), bytes: 0 }
    }

    /// A part of nothing, for what can only be recorded.
    pub fn empty_hold(&self) -> Hold {
        Hold { account: Rc::clone(&self.held), bytes: 0 }
    }

    /// Records how many bytes are in buffers that have no holds.
    pub fn set_buffered(&mut self, bytes: usize) {
        self.buffered.set(bytes);
        self.most = self.most.max(self.held());
    }

    /// The most that was held since the last call.
    pub fn take_most(&mut self) -> usize {
        let held = self.held();
        std::mem::replace(&mut self.most, held).max(held)
    }
}

impl Hold {
    /// Bytes that it covers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records that it is `bytes`, which are in use already, whether or not they are left.
    pub fn record(&mut self, bytes: usize) {
        self.account.set(self.account.get().saturating_sub(self.bytes).saturating_add(bytes));
        self.bytes = bytes;
    }
}

impl Body {
    /// A complete body.
    pub fn new(bytes: Segments, hold: Hold) -> Self {
        Self { bytes, _hold: hold }
    }
}

impl Deref for Body {
    type Target = Segments;

    fn deref(&self) -> &Segments {
        &self.bytes
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.set(self.account.get().saturating_sub(self.bytes));
    }
}
