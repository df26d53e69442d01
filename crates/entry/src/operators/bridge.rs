//! Hands requests from the bounded server to rouille's handlers.
//!
//! rouille's own server bounds neither the size of a head nor the time that it takes, and starts a
//! thread for each connection; see `docs/house-style.md`.

use std::{io::Read, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response,
    body::{Bytes, Incoming},
    header::{HeaderName, HeaderValue},
};
use shallotlead_base::code::Code;
use tokio::{task, time};

use crate::{
    http::{Answer, Serve},
    operators::route::{self, Pages},
};

/// Largest request body, in bytes: a sheet of the whole table fits.
const MAX_BODY: usize = 4 << 20;
/// Longest wait for a whole request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

impl Serve for Pages {
    type Body = Full<Bytes>;

    fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer<Full<Bytes>> {
        Box::pin(async move {
            let answer = match read(request).await {
                // The handlers wait for the platform, so that each needs a thread meanwhile.
                Ok(request) => task::spawn_blocking(move || respond(self.answer(&request))).await,
                Err(code) => Ok(respond(route::refuse(code))),
            };
            // A handler that panics fails its own request only.
            answer.unwrap_or_else(|_| failed())
        })
    }

    fn refuse(&self, code: Code) -> String {
        route::page(code)
    }
}

async fn read(request: Request<Incoming>) -> Result<rouille::Request, Code> {
    let (parts, body) = request.into_parts();
    let body = time::timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await;
    let body = body.map_err(|_| Code::RequestTimeout)?.map_err(|_| Code::RequestTooLarge)?;
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    Ok(rouille::Request::fake_http(
        parts.method.as_str(),
        target,
        headers(&parts.headers)?,
        body.to_bytes().to_vec(),
    ))
}

fn headers(map: &HeaderMap) -> Result<Vec<(String, String)>, Code> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().map_err(|_| Code::RequestMalformed)?;
        Ok((name.as_str().to_owned(), value.to_owned()))
    };
    map.iter().map(pair).collect()
}

fn respond(response: rouille::Response) -> Response<Full<Bytes>> {
    let mut bytes = Vec::new();
    let (mut body, _) = response.data.into_reader_and_size();
    if body.read_to_end(&mut bytes).is_err() {
        return failed();
    }
    let mut answer = Response::new(Full::new(Bytes::from(bytes)));
    *answer.status_mut() = response.status_code.try_into().unwrap_or_default();
    for (name, value) in response.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}

fn failed() -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
    answer
}
