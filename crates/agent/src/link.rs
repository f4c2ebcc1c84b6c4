//! The contact to one instance's control endpoint.

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

/// An endpoint says something at least this often, and is taken for silent after three times as long.
const BEAT: Duration = Duration::from_millis(700);
const SILENT: Duration = Duration::from_millis(2_100);
/// Between two tries to connect.
const PAUSE: Duration = Duration::from_millis(50);

/// What the host hears of it.
#[derive(Debug)]
pub enum Heard {
    /// The instance's state.
    Status(Box<Status>),
    /// Its list of boxes, when it is another one.
    Known(Value),
    /// It does not speak.
    Silent,
}

/// Something to ask, and where the answer goes; nothing comes if the contact breaks.
pub type Ask = (Op, oneshot::Sender<Result<Answer, Error>>);

/// Keeps contact until `asks` is closed; tells of it by `tell`, which is false once nobody listens.
pub async fn keep(path: PathBuf, mut asks: mpsc::Receiver<Ask>, tell: impl Fn(Heard) -> bool) {
    loop {
        let deadline = Instant::now() + SILENT;
        let mut silent = false;
        let stream = loop {
            match UnixStream::connect(&path).await {
                Ok(stream) => break stream,
                Err(_) => sleep(PAUSE).await,
            }
            // What is asked meanwhile is not answered: its sender is dropped.
            while let Ok(ask) = asks.try_recv() {
                drop(ask);
            }
            if asks.is_closed() {
                return;
            }
            if !silent && Instant::now() > deadline {
                silent = true;
                if !tell(Heard::Silent) {
                    return;
                }
            }
        };
        match talk(stream, &mut asks, &tell).await {
            Talk::Over => return,
            Talk::Broken => {
                if !tell(Heard::Silent) {
                    return;
                }
            }
        }
        sleep(PAUSE).await;
    }
}

enum Talk {
    Over,
    Broken,
}

async fn talk(mut stream: UnixStream, asks: &mut mpsc::Receiver<Ask>, tell: &impl Fn(Heard) -> bool) -> Talk {
    let (mut input, mut output) = stream.split();
    let mut decoder = Decoder::new(MAX_REPLY);
    let mut buffer = vec![0; 16 << 10];
    let mut open: HashMap<String, (Instant, oneshot::Sender<Result<Answer, Error>>)> = HashMap::new();
    let (mut next, mut version) = (0u64, None);
    let watch = Request::new("watch", Op::Watch { every_ms: Some(BEAT.as_millis() as u64) });
    if output.write_all(&encode_line(&watch)).await.is_err() {
        return Talk::Broken;
    }
    let mut heard = Instant::now();
    loop {
        // Silent, or it owes an answer for too long.
        let due = open.values().map(|(at, _)| *at).min().unwrap_or(heard).min(heard) + SILENT;
        tokio::select! {
            read = timeout_at(due, input.read(&mut buffer)) => {
                let Ok(Ok(n)) = read else { return Talk::Broken };
                if n == 0 {
                    return Talk::Broken;
                }
                heard = Instant::now();
                let mut piece = &buffer[..n];
                while !piece.is_empty() {
                    let Ok((used, frame)) = decoder.feed(piece) else { return Talk::Broken };
                    piece = &piece[used..];
                    let Some(frame) = frame else { continue };
                    let Ok(reply) = serde_json::from_slice::<Reply>(&frame) else { return Talk::Broken };
                    let status = match reply.body {
                        Body::Event(status) => status,
                        Body::Ok(Answer::Status(status)) if reply.id == "watch" => status,
                        Body::Ok(Answer::KnownList(KnownList { known })) if reply.id == "list" => {
                            if !known.is_null() && !tell(Heard::Known(known)) {
                                return Talk::Over;
                            }
                            continue;
                        }
                        body => {
                            if let Some((_, answer)) = open.remove(&reply.id) {
                                let _ = answer.send(match body {
                                    Body::Ok(a) => Ok(a),
                                    Body::Error(e) => Err(e),
                                    Body::Event(_) => Err(Error::new(Code::BadFrame, "an event")),
                                });
                            }
                            continue;
                        }
                    };
                    if std::mem::replace(&mut version, status.list.version) != status.list.version
                        && output.write_all(&encode_line(&Request::new("list", Op::List))).await.is_err()
                    {
                        return Talk::Broken;
                    }
                    if !tell(Heard::Status(status)) {
                        return Talk::Over;
                    }
                }
            }
            ask = asks.recv() => {
                let Some((op, answer)) = ask else { return Talk::Over };
                next += 1;
                let id = format!("a{next}");
                let request = encode_line(&Request::new(id.clone(), op));
                let write = output.write_all(&request);
                if !matches!(timeout_at(Instant::now() + SILENT, write).await, Ok(Ok(()))) {
                    return Talk::Broken;
                }
                open.insert(id, (Instant::now(), answer));
            }
        }
    }
}

/// Where an instance's control endpoint is.
pub fn socket(folder: &Path) -> PathBuf {
    folder.join("control.sock")
}
