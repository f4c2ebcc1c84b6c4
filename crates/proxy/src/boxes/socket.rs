//! Non-blocking stream sockets over TCP and Unix-domain sockets.

use addresses::{Address, AddressId};
use calicosaddle::api::Nanos;
use mio::event::Source;
use mio::net::{TcpStream, UnixStream};
use mio::{Interest, Registry, Token};
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::time::Duration;

/// A stream socket to a cache node.
#[derive(Debug)]
pub enum Socket {
    /// Over IPv4 or IPv6.
    Tcp(TcpStream),
    /// Over a Unix-domain socket.
    Unix(UnixStream),
}

/// A socket that connects, or is connected, to one address of a node.
#[derive(Debug)]
pub struct Dial {
    /// The address in the node's address table.
    pub address: AddressId,
    /// The socket.
    pub socket: Socket,
    /// When connecting was started.
    pub started_at: Nanos,
}

impl Socket {
    /// Starts to connect, without blocking.
    pub fn connect(address: &Address) -> io::Result<Socket> {
        match address {
            Address::Tcp(address) => {
                let stream = TcpStream::connect(*address)?;
                let _ = stream.set_nodelay(true);
                Ok(Socket::Tcp(stream))
            }
            // A full backlog is an error here, since no readiness event would follow.
            Address::Unix(path) => UnixStream::connect(path).map(Socket::Unix),
        }
    }

    /// Discards what the kernel has not delivered yet when the socket is closed. Otherwise the kernel would go on sending it.
    pub fn discard_on_close(&self) {
        // Without the option the close is as usual; the peer sees its end either way.
        let _ = match self {
            Socket::Tcp(s) => socket2::SockRef::from(s).set_linger(Some(Duration::ZERO)),
            Socket::Unix(_) => Ok(()),
        };
    }

    /// Whether the socket is connected.
    ///
    /// # Errors
    /// Connecting has failed.
    pub fn is_up(&self) -> io::Result<bool> {
        let (error, peer) = match self {
            Socket::Tcp(s) => (s.take_error()?, s.peer_addr().map(|_| ())),
            Socket::Unix(s) => (s.take_error()?, s.peer_addr().map(|_| ())),
        };
        match (error, peer) {
            (Some(e), _) => Err(e),
            (None, Ok(())) => Ok(true),
            (None, Err(e)) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
            (None, Err(e)) => Err(e),
        }
    }

    /// Whether there is neither unread input nor an end of stream.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = match self {
            Socket::Tcp(s) => socket2::SockRef::from(s).peek(&mut byte),
            Socket::Unix(s) => socket2::SockRef::from(s).peek(&mut byte),
        };
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn source(&mut self) -> &mut dyn Source {
        match self {
            Socket::Tcp(s) => s,
            Socket::Unix(s) => s,
        }
    }

    /// Registers for readiness events under a token.
    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(self.source(), token, Interest::READABLE | Interest::WRITABLE)
    }

    /// Changes the token of the registration.
    pub fn reregister(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.reregister(self.source(), token, Interest::READABLE | Interest::WRITABLE)
    }
}

impl Read for Socket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Socket::Tcp(s) => s.read(buffer),
            Socket::Unix(s) => s.read(buffer),
        }
    }
}

impl Write for Socket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Socket::Tcp(s) => s.write(bytes),
            Socket::Unix(s) => s.write(bytes),
        }
    }

    fn write_vectored(&mut self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        match self {
            Socket::Tcp(s) => s.write_vectored(parts),
            Socket::Unix(s) => s.write_vectored(parts),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
