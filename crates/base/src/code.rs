//! Numbered result codes. The table in `docs/result-codes.md` is checked against this one.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// What a result says about the request's execution.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No backend server ran or will run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $execution:ident, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes, in order of number.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// HTTP status that goes with the code.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// What the code says about execution.
            pub const fn execution(self) -> Execution {
                match self { $(Code::$name => Execution::$execution,)* }
            }

            /// One sentence for people.
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// The code's name.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }
        }
    };
}

// Ranges: 1xxx settings and start, 2xxx the caller's request, 3xxx admission and limits,
// 4xxx backend servers and attempts, 5xxx the platform, 6xxx table and administration,
// 7xxx links between instances.
codes! {
    /// A settings file can't be read.
    SettingsUnreadable = 1001, 500, NotRun, "the settings file cannot be read";
    /// A section or key is unknown.
    SettingUnknown = 1002, 500, NotRun, "the settings file holds an unknown section or key";
    /// A value is of the wrong type or out of range.
    SettingInvalid = 1003, 500, NotRun, "a setting is of the wrong type or out of range";
    /// A required setting is missing.
    SettingMissing = 1004, 500, NotRun, "a required setting is missing";
    /// An address can't be bound.
    BindFailed = 1005, 500, NotRun, "an address cannot be bound";

    /// The request's head or body is over its size bound.
    RequestTooLarge = 2001, 413, NotRun, "the request is larger than allowed";
    /// The request isn't well formed.
    RequestMalformed = 2002, 400, NotRun, "the request is not well formed";
    /// The key is missing or unknown.
    KeyUnknown = 2003, 401, NotRun, "the API key is missing or unknown";
    /// No such path, model or service.
    NotFound = 2004, 404, NotRun, "there is no such path, model or service";
    /// The request wasn't sent in time.
    RequestTimeout = 2005, 408, NotRun, "the request was not received in time";
    /// The method isn't allowed here.
    MethodNotAllowed = 2006, 405, NotRun, "the method is not allowed here";
    /// The event id to resume from is forged, too old or another organisation's.
    ResumeInvalid = 2007, 400, NotRun, "the stream to resume is not known to this key";
    /// Too many connections are open.
    TooManyConnections = 2008, 503, NotRun, "too many connections are open";
    /// The idempotency key was used for a different request.
    KeyReused = 2009, 422, NotRun, "the idempotency key was used with a different request";

    /// The deadline can't be met.
    DeadlineUnreachable = 3001, 503, NotRun, "the deadline cannot be met";
    /// The system sheds load.
    Overloaded = 3002, 503, NotRun, "the system is overloaded";
    /// A limit of the organisation is used up.
    OrganisationLimit = 3003, 429, NotRun, "a limit of the organisation is used up";
    /// A limit of the model is used up.
    ModelLimit = 3004, 429, NotRun, "a limit of the model is used up";
    /// No backend server can take it now.
    NoServer = 3005, 503, NotRun, "no backend server can take the request now";
    /// The instance is shutting down.
    ShuttingDown = 3006, 503, NotRun, "the instance is shutting down";
    /// The organisation may not use the model.
    ModelForbidden = 3007, 403, NotRun, "the organisation may not use the model";

    /// The backend server could not be reached before any byte was sent.
    ServerUnreachable = 4001, 502, NotRun, "the backend server could not be reached";
    /// The attempt broke after it may have started to run.
    OutcomeUnknown = 4002, 502, Unknown, "the request may have run; its outcome is unknown";
    /// The backend server refused before running it.
    ServerRefused = 4003, 502, NotRun, "the backend server refused the request";
    /// The retry budget is used up.
    RetriesExhausted = 4004, 502, Unknown, "the request was retried as often as allowed";
    /// The deadline passed while it ran.
    DeadlinePassed = 4005, 504, Unknown, "the deadline passed";
    /// The first call with this idempotency key still runs.
    StillRunning = 4006, 409, Unknown, "the first call with this idempotency key is still running";
    /// The backend server answered with an error of its own.
    ServerFailed = 4007, 502, Ran, "the backend server answered with an error";
    /// The first call with this idempotency key ran, and its answer was too large to keep.
    AlreadyRan = 4008, 409, Ran, "the first call with this idempotency key ran; its answer was not kept";

    /// The platform can't be reached or doesn't answer in time.
    PlatformUnavailable = 5001, 503, NotRun, "the platform's service is unavailable";
    /// The intent to run a non-idempotent request can't be recorded.
    IntentUnrecorded = 5002, 503, NotRun, "the request could not be recorded before sending";
    /// Stored data can't be decoded.
    StoredInvalid = 5003, 500, NotRun, "a stored object cannot be decoded";

    /// The row or cell doesn't exist.
    CellUnknown = 6001, 404, NotRun, "the table has no such row or cell";
    /// The value doesn't fit the cell.
    CellInvalid = 6002, 422, NotRun, "the value does not fit the cell";
    /// The cell was changed by someone else.
    CellConflict = 6003, 409, NotRun, "the cell was changed by someone else";
    /// The operator's role doesn't allow it.
    Forbidden = 6004, 403, NotRun, "the operator's role does not allow this";
    /// The change may or may not have been accepted.
    ChangeUnknown = 6005, 504, Unknown, "the change may or may not have been accepted";

    /// The peer's certificate isn't known.
    PeerUnknown = 7001, 403, NotRun, "the peer's certificate is not known";
    /// The message can't be decoded or is too large.
    MessageInvalid = 7002, 400, NotRun, "the message cannot be decoded";
    /// The peer's protocol version isn't supported.
    VersionUnsupported = 7003, 400, NotRun, "the peer's protocol version is not supported";
    /// The peer can't be reached or did not answer in time.
    PeerUnreachable = 7004, 504, Unknown, "the peer cannot be reached or did not answer in time";
}

impl Code {
    /// The number, as logged and answered.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}

/// A refusal or failure as the caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// What happened.
    pub code: Code,
    /// When to come back, where coming back helps.
    pub retry_after: Option<Duration>,
}
