//! The agent's API: HTTP/1.1 and JSON over a Unix-domain socket, and over TCP with a token.

use crate::host::{FleetCommand, Message, ShadowCommand};
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

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum number of open connections of each listener.
const MAX_CONNECTIONS: usize = 64;
/// Time within which the head of a request must arrive, and then its body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay of a listener after an error of accept, or while all connections are in use.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);
/// Maximum time that a watch request waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// Connects the API to the host.
#[derive(Clone)]
pub struct Api {
    /// Channel to the host.
    pub messages: mpsc::UnboundedSender<Message>,
    /// Counter of the changes of the observed state.
    pub changed: watch::Receiver<u64>,
}

/// Body of `POST /v1/operations`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WriteRequest {
    id: String,
    base: u64,
    #[serde(default)]
    force: bool,
    #[serde(default)]
    dry_run: bool,
    command: FleetCommand,
}

type ApiResponse = (StatusCode, Value);

fn error_response(status: StatusCode, code: &str, message: impl Into<String>) -> ApiResponse {
    (status, json!({"error": {"code": code, "message": message.into()}}))
}

/// Compares in a time that does not depend on where the content differs.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}

/// The open connections of a listener. When all are in use, the oldest one that has not sent a request yet is closed,
/// so that idle clients can't block others. If all have sent a request, the next client waits.
#[derive(Default)]
struct ConnectionPool {
    connections: VecDeque<(AbortHandle, Arc<AtomicBool>)>,
}

impl ConnectionPool {
    /// Serves a connection as soon as the limit allows it.
    async fn run<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        serve: impl FnOnce(Arc<AtomicBool>) -> F,
    ) {
        while self.connections.len() >= MAX_CONNECTIONS {
            self.connections.retain(|(task, _)| !task.is_finished());
            let idle =
                self.connections.iter().position(|(_, has_request)| !has_request.load(Ordering::Relaxed));
            match idle.and_then(|at| self.connections.remove(at)) {
                Some((task, _)) => task.abort(),
                None if self.connections.len() >= MAX_CONNECTIONS => tokio::time::sleep(ACCEPT_DELAY).await,
                None => {}
            }
        }
        let has_request = Arc::<AtomicBool>::default();
        let task = tokio::spawn(serve(has_request.clone())).abort_handle();
        self.connections.push_back((task, has_request));
    }
}

impl Api {
    /// Serves a Unix-domain socket to the users with these ids.
    pub async fn serve_unix(self, listener: UnixListener, uids: Vec<u32>) {
        let mut pool = ConnectionPool::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) if stream.peer_cred().is_ok_and(|c| uids.contains(&c.uid())) => {
                    pool.run(|has_request| self.clone().serve_connection(stream, None, has_request)).await;
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_DELAY).await,
            }
        }
    }

    /// Serves TCP to clients that send the token.
    pub async fn serve_tcp(self, listener: TcpListener, token: Arc<str>) {
        let mut pool = ConnectionPool::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let token = Some(token.clone());
                    pool.run(|has_request| self.clone().serve_connection(stream, token, has_request)).await;
                }
                Err(_) => tokio::time::sleep(ACCEPT_DELAY).await,
            }
        }
    }

    async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        self,
        stream: S,
        token: Option<Arc<str>>,
        has_request: Arc<AtomicBool>,
    ) {
        let service = hyper::service::service_fn(move |request| {
            has_request.store(true, Ordering::Relaxed);
            let (api, token) = (self.clone(), token.clone());
            async move {
                let (status, body) = api.handle_request(request, token.as_deref()).await;
                let response = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
                response.body(Full::new(Bytes::from(body.to_string() + "\n")))
            }
        });
        // An error of a connection affects only its client.
        let _ = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .max_buf_size(64 << 10)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn handle_request(&self, request: Request<Incoming>, token: Option<&str>) -> ApiResponse {
        if let Some(token) = token {
            let credentials = request.headers().get(AUTHORIZATION).map(|v| v.as_bytes()).unwrap_or_default();
            if !constant_time_eq(credentials, format!("Bearer {token}").as_bytes()) {
                return error_response(StatusCode::UNAUTHORIZED, "token", "the token is missing or wrong");
            }
        }
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), &segments[..]) {
            (&Method::GET, ["v1", "fleet"]) => self.query(Message::Fleet).await,
            (&Method::GET, ["v1", "watch"]) => self.watch(&query).await,
            (&Method::GET, ["v1", "instances", name]) => {
                let name = (*name).to_owned();
                self.query_one(|sender| Message::Inspect(name, sender), "no such instance").await
            }
            (&Method::GET, ["v1", "operations", id]) => {
                let id = (*id).to_owned();
                self.query_one(
                    |sender| Message::Operation(id, sender),
                    "no such operation, or it is no longer remembered",
                )
                .await
            }
            (&Method::POST, ["v1", "operations"]) => self.write(request).await,
            (&Method::POST, ["v1", "shadow"]) => self.shadow(request).await,
            (
                _,
                ["v1", "fleet" | "watch" | "operations" | "shadow"] | ["v1", "instances" | "operations", _],
            ) => error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
                "GET reads, POST /v1/operations and /v1/shadow write",
            ),
            _ => error_response(StatusCode::NOT_FOUND, "path", format!("unknown path {path}")),
        }
    }

    async fn query(&self, message: impl FnOnce(oneshot::Sender<Value>) -> Message) -> ApiResponse {
        let (sender, receiver) = oneshot::channel();
        let _ = self.messages.send(message(sender));
        match receiver.await {
            Ok(value) => (StatusCode::OK, value),
            Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the agent is stopping"),
        }
    }

    async fn query_one(
        &self,
        message: impl FnOnce(oneshot::Sender<Option<Value>>) -> Message,
        not_found: &str,
    ) -> ApiResponse {
        let (sender, receiver) = oneshot::channel();
        let _ = self.messages.send(message(sender));
        match receiver.await {
            Ok(Some(value)) => (StatusCode::OK, value),
            Ok(None) => error_response(StatusCode::NOT_FOUND, "unknown", not_found),
            Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the agent is stopping"),
        }
    }

    /// Returns the state of the fleet once the change counter differs from `after`, or after a time-out.
    async fn watch(&self, query: &str) -> ApiResponse {
        let parameter = |name: &str| -> Option<u64> {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut changed = self.changed.clone();
        if let Some(after) = parameter("after") {
            let timeout =
                parameter("timeout_ms").map_or(MAX_WATCH_TIME, Duration::from_millis).min(MAX_WATCH_TIME);
            let _ = tokio::time::timeout(timeout, changed.wait_for(|n| *n != after)).await;
        }
        let change = *changed.borrow();
        let (status, fleet) = self.query(Message::Fleet).await;
        (status, json!({"change": change, "fleet": fleet}))
    }

    /// Reads and parses the body of a request.
    async fn read_body<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Result<T, ApiResponse> {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                let message = format!("the body is longer than {MAX_BODY_BYTES} bytes or incomplete");
                return Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, "body", message));
            }
            Err(_) => {
                return Err(error_response(
                    StatusCode::REQUEST_TIMEOUT,
                    "body",
                    format!("the body did not arrive within {} s", READ_TIMEOUT.as_secs()),
                ))
            }
        };
        serde_json::from_slice(&body)
            .map_err(|e| error_response(StatusCode::BAD_REQUEST, "invalid", e.to_string()))
    }

    async fn shadow(&self, request: Request<Incoming>) -> ApiResponse {
        let command: ShadowCommand = match Api::read_body(request).await {
            Ok(command) => command,
            Err(response) => return response,
        };
        let (answer, receiver) = oneshot::channel();
        let _ = self.messages.send(Message::Shadow(command, answer));
        Api::command_response(receiver).await
    }

    async fn write(&self, request: Request<Incoming>) -> ApiResponse {
        let write: WriteRequest = match Api::read_body(request).await {
            Ok(write) => write,
            Err(response) => return response,
        };
        let (answer, receiver) = oneshot::channel();
        let WriteRequest { id, base, force, dry_run, command } = write;
        let _ = self.messages.send(Message::Submit { id, base, force, dry_run, command, answer });
        Api::command_response(receiver).await
    }

    /// Waits for the result of a command.
    async fn command_response(receiver: oneshot::Receiver<Result<Value, Rejection>>) -> ApiResponse {
        match receiver.await {
            Ok(Ok(result)) => (StatusCode::OK, result),
            Ok(Err(e)) => {
                let (status, code) = match &e {
                    Rejection::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
                    Rejection::Invalid(_) => (StatusCode::BAD_REQUEST, "invalid"),
                    Rejection::Unsafe(_) => (StatusCode::UNPROCESSABLE_ENTITY, "unsafe"),
                };
                error_response(status, code, e.to_string())
            }
            Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping", "the agent is stopping"),
        }
    }
}
