//! The API of an agent, from the outside.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpStream, UnixStream};

/// An agent answers within this, but for a watch.
const PATIENCE: Duration = Duration::from_secs(10);

/// Where an agent is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// A Unix-domain socket.
    Socket(PathBuf),
    /// TCP, with a token.
    Tcp(SocketAddr),
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Some(address) = text.strip_prefix("http://") {
            let address = address.trim_end_matches('/').parse();
            return address.map(Address::Tcp).map_err(|_| format!("{text}: http://ADDRESS:PORT is wanted"));
        }
        let path = text.strip_prefix("unix:").unwrap_or(text);
        if path.is_empty() {
            return Err("an agent's address is empty".into());
        }
        Ok(Address::Socket(path.into()))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Address::Socket(path) => write!(f, "{}", path.display()),
            Address::Tcp(address) => write!(f, "http://{address}"),
        }
    }
}

/// Why there is no answer that helps.
#[derive(Debug)]
pub enum Failure {
    /// The agent can't be reached: nothing was done.
    Unreachable(String),
    /// The contact broke, or the answer did not come: it may have been done.
    Unknown(String),
    /// The agent will not do it.
    Refused(u16, String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failure::Unreachable(why) => write!(f, "{why}"),
            Failure::Unknown(why) => write!(f, "{why}; it may have been done"),
            Failure::Refused(_, why) => f.write_str(why),
        }
    }
}

/// An agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Where it is.
    pub address: Address,
    /// What it wants over TCP.
    pub token: Option<String>,
}

impl Agent {
    /// Asks for something; its JSON.
    pub async fn ask(&self, method: Method, path: &str, body: Option<&Value>) -> Result<Value, Failure> {
        self.ask_for(method, path, body, PATIENCE).await
    }

    /// The same, with another patience.
    pub async fn ask_for(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        patience: Duration,
    ) -> Result<Value, Failure> {
        let unreachable = |e: std::io::Error| {
            let hint = "does trestle-agent run, and is --agent right?";
            Failure::Unreachable(format!("{}: can't be reached: {e}; {hint}", self.address))
        };
        let asked = async {
            match &self.address {
                Address::Socket(path_) => {
                    let stream = UnixStream::connect(path_).await.map_err(unreachable)?;
                    self.talk(stream, method, path, body).await
                }
                Address::Tcp(address) => {
                    let stream = TcpStream::connect(address).await.map_err(unreachable)?;
                    self.talk(stream, method, path, body).await
                }
            }
        };
        let late = || Failure::Unknown(format!("{}: no answer within {patience:?}", self.address));
        tokio::time::timeout(patience, asked).await.unwrap_or_else(|_| Err(late()))
    }

    async fn talk(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let broke = |e: hyper::Error| Failure::Unknown(format!("{}: contact lost: {e}", self.address));
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(broke)?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header(HOST, "agent");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| Failure::Refused(400, format!("the request can't be made: {e}")))?;
        let response = sender.send_request(request).await.map_err(broke)?;
        let status = response.status();
        let bytes = response.into_body().collect().await.map_err(broke)?.to_bytes();
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"].as_str().unwrap_or("no reason was given");
        Err(Failure::Refused(status.as_u16(), format!("{}: {message}", self.address)))
    }
}
