//! The connection to the control endpoint of one instance.

use control::message::{encode_line, Answer, Body, KnownList, Status};
use control::{Code, Decoder, Error, Op, Reply, Request, MAX_REPLY};
use serde_json::Value;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout_at, Instant};

/// Interval of the status events of an endpoint.
const STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// An endpoint that sends nothing for this time, three status intervals, is considered lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Delay between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// An event of the connection.
#[derive(Debug)]
pub enum ContactEvent {
    /// The instance reported its status.
    Status(Box<Status>),
    /// The instance has a new list of boxes.
    BoxList(Value),
    /// The connection broke, or the instance sends nothing.
    Lost,
}

/// An operation and the sender for its result; the sender is dropped if the connection breaks.
pub type ControlRequest = (Op, oneshot::Sender<Result<Answer, Error>>);

/// Keeps a connection open, and reconnects, until `requests` is closed. Events are passed to `notify`, which returns
/// false when there is no receiver left.
pub async fn maintain(
    path: PathBuf,
    mut requests: mpsc::Receiver<ControlRequest>,
    notify: impl Fn(ContactEvent) -> bool,
) {
    loop {
        let deadline = Instant::now() + SILENCE_TIMEOUT;
        let mut reported_lost = false;
        let stream = loop {
            match UnixStream::connect(&path).await {
                Ok(stream) => break stream,
                Err(_) => sleep(RECONNECT_DELAY).await,
            }
            // Requests made without a connection are not answered: their senders are dropped.
            while let Ok(request) = requests.try_recv() {
                drop(request);
            }
            if requests.is_closed() {
                return;
            }
            if !reported_lost && Instant::now() > deadline {
                reported_lost = true;
                if !notify(ContactEvent::Lost) {
                    return;
                }
            }
        };
        match serve_connection(stream, &mut requests, &notify).await {
            ConnectionEnd::Closed => return,
            ConnectionEnd::Broken => {
                if !notify(ContactEvent::Lost) {
                    return;
                }
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

enum ConnectionEnd {
    /// The connection is no longer needed.
    Closed,
    /// The connection failed and has to be opened again.
    Broken,
}

/// Serves one connection until it breaks or is no longer needed.
async fn serve_connection(
    mut stream: UnixStream,
    requests: &mut mpsc::Receiver<ControlRequest>,
    notify: &impl Fn(ContactEvent) -> bool,
) -> ConnectionEnd {
    let (mut input, mut output) = stream.split();
    let mut decoder = Decoder::new(MAX_REPLY);
    let mut buffer = vec![0; 16 << 10];
    let mut pending: HashMap<String, (Instant, oneshot::Sender<Result<Answer, Error>>)> = HashMap::new();
    let (mut last_id, mut list_version) = (0u64, None);
    let watch = Request::new("watch", Op::Watch { every_ms: Some(STATUS_INTERVAL.as_millis() as u64) });
    if output.write_all(&encode_line(&watch)).await.is_err() {
        return ConnectionEnd::Broken;
    }
    let mut last_received = Instant::now();
    loop {
        // The endpoint must neither be silent nor leave a request unanswered for longer than the time-out.
        let deadline = pending.values().map(|(at, _)| *at).min().unwrap_or(last_received).min(last_received)
            + SILENCE_TIMEOUT;
        tokio::select! {
            read = timeout_at(deadline, input.read(&mut buffer)) => {
                let Ok(Ok(n)) = read else { return ConnectionEnd::Broken };
                if n == 0 {
                    return ConnectionEnd::Broken;
                }
                last_received = Instant::now();
                let mut unread = &buffer[..n];
                while !unread.is_empty() {
                    let Ok((used, frame)) = decoder.feed(unread) else { return ConnectionEnd::Broken };
                    unread = &unread[used..];
                    let Some(frame) = frame else { continue };
                    let Ok(reply) = serde_json::from_slice::<Reply>(&frame) else {
                        return ConnectionEnd::Broken;
                    };
                    let status = match reply.body {
                        Body::Event(status) => status,
                        Body::Ok(Answer::Status(status)) if reply.id == "watch" => status,
                        Body::Ok(Answer::KnownList(KnownList { known })) if reply.id == "list" => {
                            if !known.is_null() && !notify(ContactEvent::BoxList(known)) {
                                return ConnectionEnd::Closed;
                            }
                            continue;
                        }
                        body => {
                            if let Some((_, answer)) = pending.remove(&reply.id) {
                                let _ = answer.send(match body {
                                    Body::Ok(a) => Ok(a),
                                    Body::Error(e) => Err(e),
                                    Body::Event(_) => {
                                        Err(Error::new(Code::BadFrame, "event instead of a reply"))
                                    }
                                });
                            }
                            continue;
                        }
                    };
                    if std::mem::replace(&mut list_version, status.list.version) != status.list.version
                        && output.write_all(&encode_line(&Request::new("list", Op::List))).await.is_err()
                    {
                        return ConnectionEnd::Broken;
                    }
                    if !notify(ContactEvent::Status(status)) {
                        return ConnectionEnd::Closed;
                    }
                }
            }
            request = requests.recv() => {
                let Some((op, answer)) = request else { return ConnectionEnd::Closed };
                last_id += 1;
                let id = format!("a{last_id}");
                let frame = encode_line(&Request::new(id.clone(), op));
                let write = output.write_all(&frame);
                if !matches!(timeout_at(Instant::now() + SILENCE_TIMEOUT, write).await, Ok(Ok(()))) {
                    return ConnectionEnd::Broken;
                }
                pending.insert(id, (Instant::now(), answer));
            }
        }
    }
}

/// Path of the control socket in the folder of an instance.
pub fn socket_path(instance_dir: &Path) -> PathBuf {
    instance_dir.join("control.sock")
}
