//! Translates the emulated platform's formats for the gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::store::Call;
use shallotlead_gateway::{
    adapter::{
        Adapter, ControlRequest, ForwardOptions, HandoverOptions, Load, Lookup, Malformed,
        ObjectKind, Order, OrderReply, RefusedHandover, Report, RequestInfo, ResponseInfo,
        RetryAfter, ServerEntry, StoreReply, Weights,
    },
    config::{Config, Engine, Execution, Limits, Organisation, Route, Service},
    http::{
        head::{Fields, Request, Response},
        write,
    },
    quota,
};
use shallotlead_platform::outcome::Outcome;

use super::{names, store::Answer, store::Query};

/// The formats of the emulated platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Format;

/// Fields that apply to one connection only.
const HOP_BY_HOP: [&str; 4] = ["Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding"];
/// Fields that the gateway sets.
const OWN: [&str; 6] = [
    names::DEADLINE,
    names::LAST_EVENT,
    names::SERVER,
    names::WEIGHTS,
    names::HANDOVER,
    names::BUILD,
];

/// How a handover was refused.
const REFUSED: [(&str, RefusedHandover); 2] =
    [("unsent", RefusedHandover::Unsent), ("declined", RefusedHandover::Declined)];

fn is_in(list: &[&str], name: &str) -> bool {
    list.iter().any(|it| it.eq_ignore_ascii_case(name))
}

fn write_head(head: &Request, left_out: &[&str], out: &mut Vec<u8>) {
    write::request_line(out, &head.method, &head.target);
    for field in &head.fields.0 {
        if !is_in(&HOP_BY_HOP, &field.name) && !is_in(left_out, &field.name) {
            write::field(out, &field.name, &field.value);
        }
    }
}

fn write_numbers(numbers: &[(&str, Option<u64>)], out: &mut Vec<u8>) {
    for (name, number) in numbers {
        if let Some(number) = number {
            write::number_field(out, name, *number);
        }
    }
    write::end_head(out);
}

fn get(target: &str) -> ControlRequest {
    ControlRequest { method: "GET", target: target.into(), fields: Vec::new(), body: Vec::new() }
}

fn parse<'a, T: serde::Deserialize<'a>>(value: &'a [u8]) -> Result<T, Malformed> {
    serde_json::from_slice(value).map_err(|it| Malformed(it.to_string()))
}

impl Adapter for Format {
    fn parse_request(&self, head: &Request) -> RequestInfo {
        let fields = &head.fields;
        let number = |name: &str| fields.get(name)?.parse::<u64>().ok();
        RequestInfo {
            id: fields.get(names::REQUEST).map(Box::from),
            host: fields.get("host").unwrap_or_default().into(),
            key: Some(names::KEY.into()),
            deadline: number(names::DEADLINE).map(Duration::from_millis),
            model: fields.get(names::MODEL).map(Into::into),
            parts: fields.get(names::PARTS).map(super::parse_parts).unwrap_or_default(),
            tokens: None,
            max_answer_tokens: None,
            last_event: number(names::LAST_EVENT),
            resumed_id: fields.get(names::RESUMES).map(Box::from),
            handover: number(names::HANDOVER).map(|it| u8::try_from(it).unwrap_or(u8::MAX)),
            build: number(names::BUILD).and_then(|it| u32::try_from(it).ok()),
        }
    }

    fn write_request(&self, head: &Request, options: &ForwardOptions<'_>, out: &mut Vec<u8>) {
        write_head(head, &OWN, out);
        write::field(out, names::SERVER, options.server.as_bytes());
        let numbers = [
            (names::DEADLINE, options.time_left.map(|it| it.as_millis() as u64)),
            (names::WEIGHTS, options.weights),
            (names::LAST_EVENT, options.last_event),
            ("Content-Length", options.body_len.map(|it| it as u64)),
        ];
        write_numbers(&numbers, out);
    }

    fn write_handover(&self, head: &Request, options: &HandoverOptions, out: &mut Vec<u8>) {
        write_head(head, &OWN, out);
        let numbers = [
            (names::DEADLINE, Some(options.time_left.as_millis() as u64)),
            (names::HANDOVER, Some(u64::from(options.attempts))),
            (names::BUILD, options.build.map(u64::from)),
            (names::LAST_EVENT, options.last_event),
            ("Content-Length", options.body_len.map(|it| it as u64)),
        ];
        write_numbers(&numbers, out);
    }

    fn parse_response(&self, head: &Response) -> ResponseInfo {
        let fields = &head.fields;
        let load = |text: &str| {
            let (running, waiting) = text.split_once(',')?;
            Some(Load { running: running.parse().ok()?, waiting: waiting.parse().ok()? })
        };
        let refused = |text: &str| REFUSED.iter().find(|it| it.0 == text).map(|it| it.1);
        let seconds = fields.get("retry-after").map(|it| it.parse().ok());
        let retry_after = seconds.map(|it| it.and_then(|it| Duration::try_from_secs_f64(it).ok()));
        ResponseInfo {
            pace: None,
            id: fields.get(names::REQUEST).map(Box::from),
            is_declined: fields.get(names::DECLINED).is_some(),
            refused_handover: fields.get(names::HANDOVER).and_then(refused),
            server: fields.get(names::SERVER).map(Box::from),
            is_draining: fields.get(names::LEAVING).is_some(),
            load: fields.get(names::LOAD).and_then(load),
            weights: fields.get(names::WEIGHTS).and_then(|it| it.parse().ok()),
            retry_after: match retry_after {
                None => RetryAfter::None,
                Some(None) => RetryAfter::Unreadable,
                Some(Some(it)) => RetryAfter::Time(it),
            },
            is_signed: fields.get(names::SIGNATURE).is_some(),
            ..ResponseInfo::default()
        }
    }

    fn write_response_fields(&self, fields: &Fields, out: &mut Vec<u8>) {
        for field in &fields.0 {
            let internal = [names::DECLINED, names::LOAD, names::HANDOVER];
            if !is_in(&HOP_BY_HOP, &field.name) && !is_in(&internal, &field.name) {
                write::field(out, &field.name, &field.value);
            }
        }
    }

    fn refusal_fields(
        &self,
        id: Option<&str>,
        retry_after: Option<Duration>,
        handover: Option<RefusedHandover>,
    ) -> Vec<(&'static str, String)> {
        let id = id.map(|it| (names::REQUEST, it.to_owned()));
        let after = retry_after.map(|it| ("Retry-After", it.as_secs_f64().to_string()));
        let refused = REFUSED.iter().find(|it| Some(it.1) == handover);
        let refused = refused.map(|it| (names::HANDOVER, it.0.to_owned()));
        id.into_iter().chain(after).chain(refused).collect()
    }

    fn report_request(&self) -> ControlRequest {
        get(names::REPORT)
    }

    fn health_request(&self, path: &str) -> ControlRequest {
        get(path)
    }

    /// No store of cached prompts is emulated.
    fn cache_events_request(&self, _since: u64) -> ControlRequest {
        get(names::REPORT)
    }

    fn parse_cache_events(&self, _body: &[u8]) -> Option<u64> {
        None
    }

    fn parse_report(&self, body: &[u8]) -> Option<Report> {
        let it: super::Report = parse(body).ok()?;
        Some(Report {
            models: it.models,
            accepted_orders: it.accepted_orders,
            load: it.load,
            incarnation: it.incarnation,
            ..Report::default()
        })
    }

    fn order_request(&self, order: &Order<'_>) -> ControlRequest {
        let body = super::Order {
            model: order.model.into(),
            version: order.version,
            fence: order.fence,
            expected_orders: order.expected_orders,
        };
        ControlRequest {
            method: "POST",
            target: names::ORDER.into(),
            fields: vec![(names::SERVER, order.server.to_owned())],
            body: serde_json::to_vec(&body).unwrap_or_default(),
        }
    }

    fn parse_order_reply(&self, status: u16) -> OrderReply {
        match status {
            202 => OrderReply::Accepted,
            200 => OrderReply::Holds,
            409 => OrderReply::Conflict,
            412 => OrderReply::Fenced,
            421 => OrderReply::Elsewhere,
            _ => OrderReply::Refused,
        }
    }

    fn store_request(&self, call: &Call, _after: Option<&str>) -> ControlRequest {
        ControlRequest {
            method: "POST",
            target: names::STORE_CALL.into(),
            fields: Vec::new(),
            body: postcard::to_stdvec(&Query::from(call)).unwrap_or_default(),
        }
    }

    fn parse_store_reply(
        &self,
        _call: &Call,
        _status: u16,
        fields: &Fields,
        body: &[u8],
    ) -> StoreReply {
        let era = self.parse_store_era(fields).ok().flatten().unwrap_or(0);
        let answer = postcard::from_bytes::<Answer>(body);
        StoreReply::Done(answer.map_or(Outcome::Lost, |it| it.outcome(era)))
    }

    fn parse_store_era(&self, fields: &Fields) -> Result<Option<u64>, Malformed> {
        let Some(text) = fields.get(names::ERA) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| Malformed(format!("`{text}` is not an era")))
    }

    fn kind_name(&self, kind: ObjectKind) -> &'static str {
        match kind {
            ObjectKind::Configuration => names::CONFIGURATION,
            ObjectKind::Servers => names::SERVERS,
            ObjectKind::Weights => names::PUBLISHED_WEIGHTS,
        }
    }

    fn configuration_name(&self) -> &'static str {
        names::CONFIGURATION_NAME
    }

    fn parse_config(&self, value: &[u8]) -> Result<Config, Malformed> {
        let it: super::Configuration = parse(value)?;
        let routes = it.routes.into_iter().map(to_route).collect();
        let services = it.services.into_iter().map(to_service).collect();
        let keys = it.quota_per_s.map(|it| vec![(names::KEY.into(), organisation(it))]);
        Ok(Config::new(it.version, routes, services, keys, Limits::default()))
    }

    fn parse_server_entry(&self, value: &[u8]) -> Result<ServerEntry, Malformed> {
        let it: super::Entry = parse(value)?;
        Ok(ServerEntry {
            service: it.service,
            address: it.address,
            centre: it.centre,
            is_draining: it.is_draining,
            models: it.models,
            build: Some(it.build),
            incarnation: Some(it.incarnation),
            sequence: it.sequence,
        })
    }

    fn parse_weights(&self, value: &[u8]) -> Result<Weights, Malformed> {
        let it: super::Weights = parse(value)?;
        Ok(Weights { model: it.model, version: it.version })
    }

    fn is_readiness_probe(&self, head: &Request) -> bool {
        head.path() == names::READY
    }

    fn parse_lookup(&self, head: &Request) -> Option<Lookup> {
        let centre = head.query_parameter("centre")?;
        (head.path() == names::LOOKUP).then(|| Lookup { centre: centre.into() })
    }

    fn lookup_body(&self, addresses: &[SocketAddr], _ttl: Duration) -> Vec<u8> {
        serde_json::to_vec(addresses).unwrap_or_default()
    }
}

/// The organisation of all callers, with its quota of requests a second.
fn organisation(per_second: f64) -> Arc<Organisation> {
    let quota = quota::Limit { per_second, burst: per_second / 4.0, unit: quota::Unit::Requests };
    Arc::new(Organisation {
        name: names::ORGANISATION.into(),
        priority: None,
        is_isolated: false,
        quota: Some(quota),
    })
}

fn to_route(it: super::Route) -> Route {
    Route {
        host: names::HOST.into(),
        prefix: format!("/{}/", it.name).into(),
        execution: match it.is_repeatable {
            true => Execution::Idempotent,
            false => Execution::AtMostOnce,
        },
        is_stream: it.is_stream,
        timeout: Duration::from_millis(it.timeout_ms),
        latency_target: Duration::from_millis(it.target_ms),
        caller_patience: Duration::from_secs(2),
        priority: 0,
        split: vec![(it.service, 1)],
        max_attempts: it.max_attempts,
        is_public: true,
        name: it.name,
    }
}

fn to_service(it: super::Service) -> Service {
    let engine = it.capacity_tokens.map(|capacity_tokens| Engine {
        capacity_tokens,
        // Engines that fetch from each other are not emulated.
        fetch_ms_per_token: f64::from(u32::MAX),
        copy_retention: None,
    });
    Service {
        name: it.name,
        health_path: Some(names::HEALTH.into()),
        max_connections: it.max_connections,
        engine,
        cache_store: None,
    }
}
