//! The ways into a proxy: clients, controllers, and operators that call.

pub mod admin;
pub mod clients;
pub mod control;
mod operate;

use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;

use session::{PasswordHash, User, Users};

/// A socket that listens at an address.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // Danger: after a crash old connections keep the address for a minute.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// The next connection of a listener; nothing, and none is looked for any more, once there is none or it can't be had.
fn next<S, A>(accepting: &mut bool, mut accept: impl FnMut() -> io::Result<(S, A)>) -> Option<S> {
    while *accepting {
        match accept() {
            Ok((stream, _)) => return Some(stream),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => *accepting = false,
        }
    }
    None
}

/// The users of the operator's file, their tenants by number.
///
/// # Errors
/// The key and what is wrong with it.
pub fn users(told: &operator::Clients, tenants: &[String]) -> Result<Users, String> {
    let read = |(i, user): (usize, &operator::User)| {
        let fault = |key: &str, what: String| format!("clients.users[{i}].{key}: {what}");
        let password = user.password.as_deref().map(PasswordHash::parse).transpose();
        let number = |name: &String| {
            let at = tenants.iter().position(|t| t == name).map(|t| t as u32);
            at.ok_or_else(|| fault("tenants", format!("the settings have no customer {name:?}")))
        };
        let tenants = user.tenants.as_ref().map(|all| all.iter().map(number).collect()).transpose()?;
        Ok(User {
            name: user.name.clone(),
            password: password.map_err(|e| fault("password", e.to_string()))?,
            commands: user.commands.clone(),
            tenants,
        })
    };
    Ok(Users::new(told.users.iter().enumerate().map(read).collect::<Result<_, String>>()?))
}
