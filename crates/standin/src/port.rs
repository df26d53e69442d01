//! Ports that stay free while whoever listens on them is away.

use std::{
    hash::{BuildHasher, Hasher, RandomState},
    io,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Ports below those that systems give to connections, and to listeners that name none (from 32,768 on, or from
/// 49,152).
const PORTS: Range<u16> = 20_000..32_000;
/// How many are tried before any port will do.
const TRIES: u32 = 50;

/// An address on `ip` whose port is free, for connections and datagrams.
///
/// Guards against a listener that can't come back after a restart: another process has its port by then, as the source
/// of a connection or for a listener of its own. It shows as "address already in use" for many seconds. It holds since
/// the system itself gives these ports to nobody.
///
/// # Errors
/// No port can be bound.
pub fn free(ip: IpAddr) -> io::Result<SocketAddr> {
    let mut random = SmallRng::seed_from_u64(seed());
    for _ in 0..TRIES {
        let address = SocketAddr::new(ip, random.random_range(PORTS));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    UdpSocket::bind((ip, 0))?.local_addr()
}

/// Another number in each process and at each call.
fn seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Listens on `address`, or on a free port where it names none.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    if address.port() != 0 {
        return TcpListener::bind(address);
    }
    for _ in 0..TRIES {
        // Another process may take it between the two.
        if let Ok(listener) = TcpListener::bind(free(address.ip())?) {
            return Ok(listener);
        }
    }
    TcpListener::bind(address)
}
