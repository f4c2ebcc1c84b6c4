//! Additional listeners of a box, each with its own fault mode.

use super::boxes::CacheBox;
use super::lock;
use std::net::TcpListener;
use std::os::unix::net::UnixListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpStream, UnixStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Kind of an additional listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    /// IPv6, or another IPv4 port on a machine without IPv6.
    Six,
    /// A Unix-domain socket.
    Unix,
}

/// Fault mode of an additional listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListenerFault {
    /// No fault: behaves like the box.
    #[default]
    Well,
    /// Accepts connections and discards all input.
    Deaf,
    /// Processes commands and sends no replies.
    Mute,
    /// Accepts connections and reads nothing.
    Stuck,
    /// Resets each connection immediately.
    Resets,
}

/// A TCP or Unix-domain connection.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Makes the connection end with a reset on drop; no effect on Unix-domain sockets.
    fn reset(&self);
}

impl Stream for TcpStream {
    fn reset(&self) {
        let _ = socket2::SockRef::from(self).set_linger(Some(Duration::ZERO));
    }
}

impl Stream for UnixStream {
    fn reset(&self) {}
}

#[derive(Debug)]
enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// An additional listener of a box.
#[derive(Debug)]
pub struct Door {
    /// Kind of listener.
    pub entrance: Entrance,
    /// Address in the format of discovery.
    pub address: String,
    listener: Mutex<Option<Listener>>,
    manner: watch::Sender<ListenerFault>,
    path: Option<std::path::PathBuf>,
}

impl Door {
    pub(super) fn new(entrance: Entrance) -> Self {
        let (listener, address, path) = match entrance {
            Entrance::Six => {
                let bound = TcpListener::bind("[::1]:0").or_else(|_| TcpListener::bind("127.0.0.1:0"));
                let listener = bound.expect("a listener");
                listener.set_nonblocking(true).expect("non-blocking mode");
                let address = listener.local_addr().expect("an address").to_string();
                (Listener::Tcp(listener), address, None)
            }
            Entrance::Unix => {
                let path = crate::scripted::scratch("box.sock");
                let listener = UnixListener::bind(&path).expect("a listener");
                listener.set_nonblocking(true).expect("non-blocking mode");
                (Listener::Unix(listener), format!("unix:{}", path.display()), Some(path))
            }
        };
        let manner = watch::Sender::default();
        Door { entrance, address, listener: Mutex::new(Some(listener)), manner, path }
    }

    /// Sets the fault mode, for new and existing connections.
    pub fn behaves(&self, manner: ListenerFault) {
        self.manner.send_replace(manner);
    }

    /// Returns the fault mode.
    pub fn manner(&self) -> ListenerFault {
        *self.manner.borrow()
    }

    /// Waits while the fault mode satisfies `like`.
    pub(super) async fn wait_while(&self, like: impl Fn(ListenerFault) -> bool) {
        let _ = self.manner.subscribe().wait_for(|m| !like(*m)).await;
    }

    pub(super) fn serve(self: Arc<Self>, owner: Arc<CacheBox>, number: usize) {
        let Some(listener) = lock(&self.listener).take() else { return };
        let zone = owner.config.zone;
        let accepted = move |door: &Door, stream: Result<TcpStream, UnixStream>| match (door.manner(), stream)
        {
            (ListenerFault::Resets, Ok(stream)) => stream.reset(),
            (ListenerFault::Resets, Err(_)) => {}
            (_, Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                owner.clone().handle_connection(stream, zone, number);
            }
            (_, Err(stream)) => owner.clone().handle_connection(stream, zone, number),
        };
        spawn_local(async move {
            match listener {
                Listener::Tcp(listener) => {
                    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                    while let Ok((stream, _)) = listener.accept().await {
                        accepted(&self, Ok(stream));
                    }
                }
                Listener::Unix(listener) => {
                    let Ok(listener) = tokio::net::UnixListener::from_std(listener) else { return };
                    while let Ok((stream, _)) = listener.accept().await {
                        accepted(&self, Err(stream));
                    }
                }
            }
        });
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        if let Some(path) = &self.path {
            let _ = std::fs::remove_file(path);
        }
    }
}
