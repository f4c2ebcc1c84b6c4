//! Client of the HTTP API of an agent.

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

/// The timeout of a request to an agent, except for a watch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The address of an agent's API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// The path of a Unix-domain socket.
    Socket(PathBuf),
    /// A TCP address; requests carry a token.
    Tcp(SocketAddr),
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Some(address) = text.strip_prefix("http://") {
            let address = address.trim_end_matches('/').parse();
            return address.map(Address::Tcp).map_err(|_| format!("{text}: expected http://ADDRESS:PORT"));
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

/// The reason why a request did not succeed.
#[derive(Debug)]
pub enum RequestError {
    /// The agent can't be reached; nothing was done.
    Unreachable(String),
    /// The connection was lost, or the request timed out; it may have been executed.
    Unknown(String),
    /// The agent rejected the request: the HTTP status and the reason.
    Refused(u16, String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RequestError::Unreachable(reason) => write!(f, "{reason}"),
            RequestError::Unknown(reason) => write!(f, "{reason}; it may have been done"),
            RequestError::Refused(_, reason) => f.write_str(reason),
        }
    }
}

/// An agent and the credentials for it.
#[derive(Clone, Debug)]
pub struct Agent {
    /// The address of its API.
    pub address: Address,
    /// The bearer token, required over TCP.
    pub token: Option<String>,
}

impl Agent {
    /// Sends a request and returns the JSON of the response.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, RequestError> {
        self.request_with_timeout(method, path, body, REQUEST_TIMEOUT).await
    }

    /// Like [`Agent::request`], with another timeout.
    pub async fn request_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Value, RequestError> {
        let unreachable = |e: std::io::Error| {
            let hint = "does trestle-agent run, and is --agent right?";
            RequestError::Unreachable(format!("{}: can't be reached: {e}; {hint}", self.address))
        };
        let response = async {
            match &self.address {
                Address::Socket(socket_path) => {
                    let stream = UnixStream::connect(socket_path).await.map_err(unreachable)?;
                    self.exchange(stream, method, path, body).await
                }
                Address::Tcp(address) => {
                    let stream = TcpStream::connect(address).await.map_err(unreachable)?;
                    self.exchange(stream, method, path, body).await
                }
            }
        };
        let timed_out = || RequestError::Unknown(format!("{}: no answer within {timeout:?}", self.address));
        tokio::time::timeout(timeout, response).await.unwrap_or_else(|_| Err(timed_out()))
    }

    async fn exchange(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, RequestError> {
        let connection_lost =
            |e: hyper::Error| RequestError::Unknown(format!("{}: connection lost: {e}", self.address));
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(connection_lost)?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header(HOST, "agent");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| RequestError::Refused(400, format!("the request can't be made: {e}")))?;
        let response = sender.send_request(request).await.map_err(connection_lost)?;
        let status = response.status();
        let bytes = response.into_body().collect().await.map_err(connection_lost)?.to_bytes();
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"].as_str().unwrap_or("no reason was given");
        Err(RequestError::Refused(status.as_u16(), format!("{}: {message}", self.address)))
    }
}
