//! Ports that no other process gets, also while nobody listens on them.

use socket2::{Domain, Socket, Type};
use std::{
  io,
  net::{Ipv4Addr, SocketAddr},
};

/// A reserved local port. Its socket is bound and never listens, so the kernel gives the port to no
/// connection and to no other socket that asks for a free one. A process that is given the address
/// can listen there, because both sockets allow the reuse of addresses.
#[derive(Debug)]
pub struct Reservation {
  _socket: Socket,
  pub address: SocketAddr,
}

/// Reserves a free local port until the returned value is dropped.
pub fn bind() -> io::Result<Reservation> {
  let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
  // Set only after the bind, which would otherwise share a port that is reserved already.
  socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
  socket.set_reuse_address(true)?;
  let address = socket.local_addr()?.as_socket();
  let address = address.ok_or_else(|| io::Error::other("the socket has no address"))?;
  Ok(Reservation {
    _socket: socket,
    address,
  })
}
