//! A proxy before a worker. It stands for a link that loses a packet: what the packet carried arrives once it has been
//! sent again.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// For how long the next order is delayed, ms.
    delay_ms: Arc<AtomicU64>,
}

impl Proxy {
    pub fn open(ip: &str, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let proxy = Self { address, delay_ms: Arc::default() };
        let delay_ms = proxy.delay_ms.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (server.try_clone(), client.try_clone()) else { continue };
                thread::spawn(move || pass(from, to, &AtomicU64::new(0)));
                let delay_ms = delay_ms.clone();
                thread::spawn(move || pass(client, server, &delay_ms));
            }
        });
        proxy
    }

    /// Has the next order to the worker arrive late by so much.
    pub fn delay_order(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, delay_ms: &AtomicU64) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(len) = from.read(&mut chunk) {
        if chunk[..len].starts_with(b"POST /order") {
            thread::sleep(Duration::from_millis(delay_ms.swap(0, Ordering::SeqCst)));
        }
        if len == 0 || to.write_all(&chunk[..len]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
