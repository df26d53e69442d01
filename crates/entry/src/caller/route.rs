//! From a request's path to its answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response,
    body::{Body as _, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    http::request::Parts,
};
use shallotlead_base::{
    code::Code,
    id::{self, Version},
    name,
};
use shallotlead_policy::request::Repeat;
use shallotlead_table::{model::Kind, organisation::Organisation, snapshot::Snapshot};
use tokio::{sync::mpsc, time};

use crate::{
    caller::{
        addresses, answer,
        body::Body,
        budget::Share,
        context::Context,
        failure::Failure,
        headers::{self, Headers},
        models,
        prompt::Prompt,
        stream::Form,
        work::Work,
    },
    cursor::{Fingerprint, Scope},
    exchange::{Exchange, Operation, PIECES},
};

/// Target of log lines on requests that are refused before any decision.
const REFUSAL: &str = "shallotlead::refusal";
const TABLE_RETRY: Duration = Duration::from_millis(500);
const BODY_RETRY: Duration = Duration::from_secs(1);

/// Answers one request.
pub(crate) async fn serve(ctx: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let id = ctx.request();
    let headers = Headers::read(request.headers()).ok();
    let is_repeat = headers.as_ref().is_some_and(|it| it.idempotency_key.is_some() && it.is_repeat);
    let caller_id = headers.and_then(|it| it.request_id);
    let mut response = match answer(&ctx, id, request).await {
        Ok(response) => response,
        Err(failure) => {
            let failure = if is_repeat { failure.of_repeat() } else { failure };
            note(id, &failure);
            failure.response(id)
        }
    };
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert("x-shallotlead-request", value);
    }
    if let Some(value) = caller_id {
        headers.insert("x-request-id", value);
    }
    response
}

fn note(id: id::Request, failure: &Failure) {
    // The shell has logged and counted its own refusals.
    if !failure.is_noted {
        let name = failure.code.name();
        log::debug!(target: REFUSAL, request:% = id, code = failure.code.number(), name; "refuse");
        metrics::counter!("shallotlead_refusals_total", "code" => name).increment(1);
    }
}

async fn answer(
    ctx: &Context,
    id: id::Request,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    match path {
        "/v1/addresses" => {
            require(&parts.method, &Method::GET)?;
            Ok(address_page(ctx, parts.uri.query()))
        }
        "/v1/models" => {
            require(&parts.method, &Method::GET)?;
            let table = ctx.shell.table();
            let organisation = authenticate(ctx, &table, &parts)?;
            Ok(models::page(&table, organisation))
        }
        "/v1/chat/completions" | "/v1/completions" => {
            require(&parts.method, &Method::POST)?;
            generate(ctx, id, &parts, body).await
        }
        _ => match path.strip_prefix("/services/") {
            Some(rest) => call(ctx, id, &parts, rest, body).await,
            None => Err(Code::NotFound.into()),
        },
    }
}

async fn generate(
    ctx: &Context,
    id: id::Request,
    parts: &Parts,
    body: Incoming,
) -> Result<Response<Body>, Failure> {
    let arrival = Instant::now();
    let table = ctx.shell.table();
    let (headers, organisation) = enter(ctx, &table, parts)?;
    let (body, share) = read(ctx, body).await?;
    let path = parts.uri.path();
    let chat = path.ends_with("/chat/completions");
    let prompt = if chat { Prompt::chat(&body)? } else { Prompt::completion(&body)? };
    check_model(&table, organisation, &prompt.model, Kind::Engine)?;
    let fingerprint = Fingerprint::new(path, &body);
    let scope = Scope { organisation: organisation.name.clone(), fingerprint };
    let repeat = repeat(&headers, Repeat::Idempotent);
    let resume_at = resume(ctx, &headers, &scope, prompt.stream, repeat)?;
    let stream = prompt.stream;
    let operation =
        if chat { Operation::Chat { stream } } else { Operation::Completion { stream } };
    let (tx, rx) = mpsc::channel(PIECES);
    let exchange = Exchange {
        id,
        organisation: organisation.name.clone(),
        model: prompt.model,
        operation,
        body,
        prompt: Arc::from(prompt.text),
        max_tokens: prompt.max_tokens,
        priority: headers.priority.min(organisation.max_priority),
        deadline: remaining(headers.deadline, arrival)?,
        repeat,
        idempotency_key: headers.idempotency_key,
        resume_at,
        pieces: tx,
    };
    let work = Work::submit(&ctx.shell, exchange, rx, share);
    let events = stream.then(|| Form::Events { signer: Arc::clone(&ctx.signer), scope });
    answer::open(work, events, true).await
}

async fn call(
    ctx: &Context,
    id: id::Request,
    parts: &Parts,
    rest: &str,
    body: Incoming,
) -> Result<Response<Body>, Failure> {
    let arrival = Instant::now();
    let table = ctx.shell.table();
    let (headers, organisation) = enter(ctx, &table, parts)?;
    let (service, path) = split_service(rest, parts.uri.query())?;
    check_model(&table, organisation, &service, Kind::Service)?;
    if headers.last_event_id.is_some() {
        return Err(Failure::new(Code::ResumeInvalid, "a plain service's answer has no event ids"));
    }
    let content_type = content_type(parts)?;
    let (body, share) = read(ctx, body).await?;
    let (tx, rx) = mpsc::channel(PIECES);
    let repeat = repeat(&headers, method_repeat(&parts.method));
    let exchange = Exchange {
        id,
        organisation: organisation.name.clone(),
        model: service,
        operation: Operation::Service {
            method: Arc::from(parts.method.as_str()),
            path: Arc::from(path),
            content_type,
        },
        body,
        prompt: Arc::from([]),
        max_tokens: 0,
        priority: headers.priority.min(organisation.max_priority),
        deadline: remaining(headers.deadline, arrival)?,
        repeat,
        idempotency_key: headers.idempotency_key,
        resume_at: 0,
        pieces: tx,
    };
    let work = Work::submit(&ctx.shell, exchange, rx, share);
    answer::open(work, None, false).await
}

fn address_page(ctx: &Context, query: Option<&str>) -> Response<Body> {
    let identity = ctx.shell.identity();
    let listings = ctx.shell.addresses();
    let ttl = ctx.settings.callers.address_ttl;
    addresses::page(&listings, query, &identity.centre, &identity.region, ttl)
}

fn require(method: &Method, expected: &Method) -> Result<(), Failure> {
    if method == expected {
        return Ok(());
    }
    let message = format!("expected method {expected}");
    Err(Failure::new(Code::MethodNotAllowed, message))
}

/// What every request for work passes before its body is read.
fn enter<'a>(
    ctx: &Context,
    table: &'a Arc<Snapshot>,
    parts: &Parts,
) -> Result<(Headers, &'a Organisation), Failure> {
    let headers = Headers::read(&parts.headers)?;
    let organisation = authenticate(ctx, table, parts)?;
    refuse_when_draining(ctx)?;
    Ok((headers, organisation))
}

fn authenticate<'a>(
    ctx: &Context,
    table: &'a Arc<Snapshot>,
    parts: &Parts,
) -> Result<&'a Organisation, Failure> {
    let key = headers::api_key(&parts.headers)?;
    if table.version == Version::default() {
        // No table has arrived yet. To call the key unknown would be untrue.
        let message = "the table has not arrived at this instance yet";
        let failure = Failure::new(Code::PlatformUnavailable, message);
        return Err(Failure { retry_after: Some(TABLE_RETRY), ..failure });
    }
    Ok(ctx.keys.find(table, key).ok_or(Code::KeyUnknown)?)
}

fn refuse_when_draining(ctx: &Context) -> Result<(), Failure> {
    if ctx.shell.draining() {
        // Another instance takes it at once.
        let failure = Failure::from(Code::ShuttingDown);
        return Err(Failure { retry_after: Some(Duration::ZERO), ..failure });
    }
    Ok(())
}

fn check_model(
    table: &Snapshot,
    organisation: &Organisation,
    model: &name::Model,
    kind: Kind,
) -> Result<(), Failure> {
    match table.models.get(model) {
        Some(row) if row.kind == kind => {
            let allowed = models::allowed(organisation, row);
            if allowed { Ok(()) } else { Err(Code::ModelForbidden.into()) }
        }
        Some(_) | None => Err(Code::NotFound.into()),
    }
}

async fn read(ctx: &Context, body: Incoming) -> Result<(Arc<[u8]>, Share), Failure> {
    let max = ctx.settings.callers.max_body_bytes;
    let too_large =
        || Failure::new(Code::RequestTooLarge, format!("the body is larger than {max} bytes"));
    if max as u64 <= body.size_hint().lower().saturating_sub(1) {
        // Its declared length is enough to refuse it unread.
        return Err(too_large());
    }
    // A body that doesn't tell its length may be as long as any.
    let length = body.size_hint().exact().and_then(|it| usize::try_from(it).ok()).unwrap_or(max);
    let mut share = ctx.budget.take(length).ok_or_else(overloaded)?;
    let limited = Limited::new(body, max).collect();
    match time::timeout(ctx.settings.callers.body_timeout, limited).await {
        Ok(Ok(body)) => {
            let body = Arc::<[u8]>::from(&body.to_bytes()[..]);
            share.shrink(body.len());
            Ok((body, share))
        }
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Failure::new(Code::RequestMalformed, "the body is cut short")),
        Err(_) => Err(Code::RequestTimeout.into()),
    }
}

fn overloaded() -> Failure {
    let failure = Failure::new(Code::Overloaded, "too many request bodies are held");
    Failure { retry_after: Some(BODY_RETRY), ..failure }
}

fn repeat(headers: &Headers, default: Repeat) -> Repeat {
    match (&headers.idempotency_key, headers.idempotent) {
        (Some(_), _) | (None, Some(false)) => Repeat::Once,
        (None, Some(true)) => Repeat::Idempotent,
        (None, None) => default,
    }
}

fn method_repeat(method: &Method) -> Repeat {
    if method.is_idempotent() { Repeat::Idempotent } else { Repeat::Once }
}

fn resume(
    ctx: &Context,
    headers: &Headers,
    scope: &Scope,
    stream: bool,
    repeat: Repeat,
) -> Result<u32, Failure> {
    let Some(id) = &headers.last_event_id else {
        return Ok(0);
    };
    if !stream {
        let message = "only a stream of events can be resumed";
        return Err(Failure::new(Code::ResumeInvalid, message));
    }
    let cursor = ctx.signer.verify(id.as_bytes(), scope).map_err(|_| Code::ResumeInvalid)?;
    match repeat {
        Repeat::Idempotent => Ok(cursor.number),
        // Guards against a second run: to resume is to generate again, on another engine perhaps.
        // It would show as two runs of one request. The event id proves that the first one began.
        Repeat::Once => Err(Code::OutcomeUnknown.into()),
    }
}

fn remaining(deadline: Option<Duration>, arrival: Instant) -> Result<Option<Duration>, Failure> {
    let Some(deadline) = deadline else {
        return Ok(None);
    };
    match deadline.checked_sub(arrival.elapsed()) {
        Some(left) if !left.is_zero() => Ok(Some(left)),
        _ => Err(Code::DeadlineUnreachable.into()),
    }
}

fn split_service(rest: &str, query: Option<&str>) -> Result<(name::Model, String), Failure> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if path.split('/').any(is_dot_segment) {
        // A service that resolves them would answer for a path outside its root.
        let message = "dot segments are not allowed in the path";
        return Err(Failure::new(Code::RequestMalformed, message));
    }
    let mut target = format!("/{path}");
    if let Some(query) = query {
        target.push('?');
        target.push_str(query);
    }
    Ok((name::Model::from(service), target))
}

fn is_dot_segment(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

fn content_type(parts: &Parts) -> Result<Option<Arc<str>>, Failure> {
    let Some(value) = parts.headers.get(CONTENT_TYPE) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(Arc::from(text))),
        Err(_) => {
            let message = "header content-type: expected visible characters";
            Err(Failure::new(Code::RequestMalformed, message))
        }
    }
}
