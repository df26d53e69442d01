//! Header fields and paths.

/// Id of one attempt of a caller's request; responses repeat it.
pub(crate) const REQUEST: &str = "Emu-Request";
/// Milliseconds that the caller waits, or that a server has.
pub(crate) const DEADLINE: &str = "Emu-Deadline";
/// The requested model.
pub(crate) const MODEL: &str = "Emu-Model";
/// The parts of the prompt.
pub(crate) const PARTS: &str = "Emu-Parts";
/// Number of events of the answer.
pub(crate) const EVENTS: &str = "Emu-Events";
/// Number of the last event that the caller received.
pub(crate) const LAST_EVENT: &str = "Emu-Last-Event";
/// Id of the attempt that brought the first event of a stream that is taken up.
pub(crate) const RESUMES: &str = "Emu-Resumes";
/// Number of attempts that are left of a request that another instance has handed over.
pub(crate) const HANDOVER: &str = "Emu-Handover";
/// The build at which a stream that was handed over may go on.
pub(crate) const BUILD: &str = "Emu-Build";
/// The server that is meant, or that answers.
pub(crate) const SERVER: &str = "Emu-Server";
/// The version of the weights that is expected, or that has produced the answer.
pub(crate) const WEIGHTS: &str = "Emu-Weights";
/// Present if the server didn't run the request and never will.
pub(crate) const DECLINED: &str = "Emu-Declined";
/// The server's signature.
pub(crate) const SIGNATURE: &str = "Emu-Signature";
/// Running and queued requests.
pub(crate) const LOAD: &str = "Emu-Load";
/// Present if the server leaves.
pub(crate) const LEAVING: &str = "Emu-Leaving";
/// The store's era.
pub(crate) const ERA: &str = "Emu-Era";

/// Kinds of objects, and the name of the configuration.
pub(crate) const CONFIGURATION: &str = "configuration";
pub(crate) const SERVERS: &str = "servers";
pub(crate) const PUBLISHED_WEIGHTS: &str = "weights";
pub(crate) const CONFIGURATION_NAME: &str = "main";

/// Paths.
pub(crate) const REPORT: &str = "/report";
pub(crate) const HEALTH: &str = "/health";
pub(crate) const ORDER: &str = "/order";
pub(crate) const STORE_CALL: &str = "/call";
pub(crate) const READY: &str = "/ready";
pub(crate) const LOOKUP: &str = "/lookup";

/// The host of all routes.
pub(crate) const HOST: &str = "emulated";

/// The API key of all callers, and their organisation.
pub(crate) const KEY: &str = "k";
pub(crate) const ORGANISATION: &str = "o";
