//! The listening endpoints of a proxy: for clients, for controllers, and for admin commands.

pub mod admin;
pub mod clients;
pub mod control;
mod operate;

use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;

use session::{PasswordHash, User, Users};

/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Opens a listening socket at an address.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // Without this, connections of a crashed process would block the address for a minute.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Accepts the next connection of a listener. Returns `None` and clears `accepting` if there is none or it can't be
/// accepted.
fn accept_next<S, A>(accepting: &mut bool, mut accept: impl FnMut() -> io::Result<(S, A)>) -> Option<S> {
    while *accepting {
        match accept() {
            Ok((stream, _)) => return Some(stream),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => *accepting = false,
        }
    }
    None
}

/// Converts the users of the operator's file, whose tenants become indexes into `tenants`.
///
/// # Errors
/// Names the invalid key and the reason.
pub fn users(clients: &operator::Clients, tenants: &[String]) -> Result<Users, String> {
    let convert = |(i, user): (usize, &operator::User)| {
        let error = |key: &str, reason: String| format!("clients.users[{i}].{key}: {reason}");
        let password = user.password.as_deref().map(PasswordHash::parse).transpose();
        let index_of = |name: &String| {
            let index = tenants.iter().position(|t| t == name).map(|t| t as u32);
            index.ok_or_else(|| error("tenants", format!("the settings have no customer {name:?}")))
        };
        let tenants = user.tenants.as_ref().map(|all| all.iter().map(index_of).collect()).transpose()?;
        Ok(User {
            name: user.name.clone(),
            password: password.map_err(|e| error("password", e.to_string()))?,
            commands: user.commands.clone(),
            tenants,
        })
    };
    Ok(Users::new(clients.users.iter().enumerate().map(convert).collect::<Result<_, String>>()?))
}
