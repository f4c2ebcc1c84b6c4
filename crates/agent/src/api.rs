//! The agent's API: HTTP/1.1 and JSON, over a Unix-domain socket, and over TCP for who has the token.

use crate::host::{Message, Order, ShadowOrder};
use fleet::Rejection;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// The longest body of a request.
const MAX_BODY: usize = 16 << 20;
/// Connections at once, over each of the two ways.
const CONNECTIONS: usize = 64;
/// A request's head must come within this, and its body too.
const PATIENCE: Duration = Duration::from_secs(5);
/// After an error, or with all places taken, the listener rests for so long.
const PAUSE: Duration = Duration::from_millis(20);
/// The longest that a watch waits.
const WATCH: Duration = Duration::from_secs(60);

/// What the API needs of the agent.
#[derive(Clone)]
pub struct Api {
    /// The host.
    pub messages: mpsc::UnboundedSender<Message>,
    /// Counts what is seen.
    pub changed: watch::Receiver<u64>,
}

/// A write.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Write {
    id: String,
    base: u64,
    #[serde(default)]
    force: bool,
    #[serde(default)]
    dry_run: bool,
    command: Order,
}

type Answer = (StatusCode, Value);

fn error(status: StatusCode, code: &str, message: impl Into<String>) -> Answer {
    (status, json!({"error": {"code": code, "message": message.into()}}))
}

/// Same length and content, in a time that does not tell where they differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}

/// The connections of a listener. Guards against users that connect and say nothing: when all places are taken,
/// the one that has waited for its first request for longest makes room. Danger: with all places asking, the next
/// one waits.
#[derive(Default)]
struct Places {
    all: VecDeque<(AbortHandle, Arc<AtomicBool>)>,
}

impl Places {
    /// Runs a connection, once there is a place.
    async fn take<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        run: impl FnOnce(Arc<AtomicBool>) -> F,
    ) {
        while self.all.len() >= CONNECTIONS {
            self.all.retain(|(task, _)| !task.is_finished());
            let silent = self.all.iter().position(|(_, asked)| !asked.load(Ordering::Relaxed));
            match silent.and_then(|at| self.all.remove(at)) {
                Some((task, _)) => task.abort(),
                None if self.all.len() >= CONNECTIONS => tokio::time::sleep(PAUSE).await,
                None => {}
            }
        }
        let asked = Arc::<AtomicBool>::default();
        let task = tokio::spawn(run(asked.clone())).abort_handle();
        self.all.push_back((task, asked));
    }
}

impl Api {
    /// Serves a Unix-domain socket to those users.
    pub async fn unix(self, listener: UnixListener, uids: Vec<u32>) {
        let mut places = Places::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) if stream.peer_cred().is_ok_and(|c| uids.contains(&c.uid())) => {
                    places.take(|asked| self.clone().connection(stream, None, asked)).await;
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    /// Serves TCP to who has the token.
    pub async fn tcp(self, listener: TcpListener, token: Arc<str>) {
        let mut places = Places::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let token = Some(token.clone());
                    places.take(|asked| self.clone().connection(stream, token, asked)).await;
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn connection<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        self,
        stream: S,
        token: Option<Arc<str>>,
        asked: Arc<AtomicBool>,
    ) {
        let service = hyper::service::service_fn(move |request| {
            asked.store(true, Ordering::Relaxed);
            let (api, token) = (self.clone(), token.clone());
            async move {
                let (status, body) = api.request(request, token.as_deref()).await;
                let response = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
                response.body(Full::new(Bytes::from(body.to_string() + "\n")))
            }
        });
        // What goes wrong with a connection concerns its client alone.
        let _ = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(PATIENCE)
            .max_buf_size(64 << 10)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn request(&self, request: Request<Incoming>, token: Option<&str>) -> Answer {
        if let Some(token) = token {
            let told = request.headers().get(AUTHORIZATION).map(|v| v.as_bytes()).unwrap_or_default();
            if !same(told, format!("Bearer {token}").as_bytes()) {
                return error(StatusCode::UNAUTHORIZED, "token", "the token is missing or wrong");
            }
        }
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let steps: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), &steps[..]) {
            (&Method::GET, ["v1", "fleet"]) => self.ask(Message::Fleet).await,
            (&Method::GET, ["v1", "watch"]) => self.watch(&query).await,
            (&Method::GET, ["v1", "instances", name]) => {
                let name = (*name).to_owned();
                self.find(|to| Message::Inspect(name, to), "no such instance").await
            }
            (&Method::GET, ["v1", "operations", id]) => {
                let id = (*id).to_owned();
                self.find(|to| Message::Operation(id, to), "no such operation, or it is long over").await
            }
            (&Method::POST, ["v1", "operations"]) => self.write(request).await,
            (&Method::POST, ["v1", "shadow"]) => self.shadow(request).await,
            (
                _,
                ["v1", "fleet" | "watch" | "operations" | "shadow"] | ["v1", "instances" | "operations", _],
            ) => error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
                "GET reads, POST /v1/operations and /v1/shadow write",
            ),
            _ => error(StatusCode::NOT_FOUND, "path", format!("there is no {path}")),
        }
    }

    async fn ask(&self, message: impl FnOnce(oneshot::Sender<Value>) -> Message) -> Answer {
        let (to, answer) = oneshot::channel();
        let _ = self.messages.send(message(to));
        match answer.await {
            Ok(value) => (StatusCode::OK, value),
            Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the agent is about to end"),
        }
    }

    async fn find(
        &self,
        message: impl FnOnce(oneshot::Sender<Option<Value>>) -> Message,
        none: &str,
    ) -> Answer {
        let (to, answer) = oneshot::channel();
        let _ = self.messages.send(message(to));
        match answer.await {
            Ok(Some(value)) => (StatusCode::OK, value),
            Ok(None) => error(StatusCode::NOT_FOUND, "unknown", none),
            Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the agent is about to end"),
        }
    }

    /// Waits until something other than what `after` counts is seen.
    async fn watch(&self, query: &str) -> Answer {
        let number = |name: &str| -> Option<u64> {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut changed = self.changed.clone();
        if let Some(after) = number("after") {
            let wait = number("timeout_ms").map_or(WATCH, Duration::from_millis).min(WATCH);
            let _ = tokio::time::timeout(wait, changed.wait_for(|n| *n != after)).await;
        }
        let now = *changed.borrow();
        let (status, fleet) = self.ask(Message::Fleet).await;
        (status, json!({"change": now, "fleet": fleet}))
    }

    /// The body of a request.
    async fn body<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
        let body = Limited::new(request.into_body(), MAX_BODY).collect();
        let body = match tokio::time::timeout(PATIENCE, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                let message = format!("over {MAX_BODY} bytes, or not whole");
                return Err(error(StatusCode::PAYLOAD_TOO_LARGE, "body", message));
            }
            Err(_) => {
                return Err(error(StatusCode::REQUEST_TIMEOUT, "body", "the body did not come in time"))
            }
        };
        serde_json::from_slice(&body).map_err(|e| error(StatusCode::BAD_REQUEST, "invalid", e.to_string()))
    }

    async fn shadow(&self, request: Request<Incoming>) -> Answer {
        let order: ShadowOrder = match Api::body(request).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let (answer, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Shadow(order, answer));
        Api::done(answered).await
    }

    async fn write(&self, request: Request<Incoming>) -> Answer {
        let write: Write = match Api::body(request).await {
            Ok(write) => write,
            Err(answer) => return answer,
        };
        let (answer, answered) = oneshot::channel();
        let Write { id, base, force, dry_run, command: order } = write;
        let _ = self.messages.send(Message::Submit { id, base, force, dry_run, order, answer });
        Api::done(answered).await
    }

    /// What became of an order.
    async fn done(answered: oneshot::Receiver<Result<Value, Rejection>>) -> Answer {
        match answered.await {
            Ok(Ok(done)) => (StatusCode::OK, done),
            Ok(Err(e)) => {
                let (status, code) = match &e {
                    Rejection::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
                    Rejection::Invalid(_) => (StatusCode::BAD_REQUEST, "invalid"),
                    Rejection::Unsafe(_) => (StatusCode::UNPROCESSABLE_ENTITY, "unsafe"),
                };
                error(status, code, e.to_string())
            }
            Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the agent is about to end"),
        }
    }
}
