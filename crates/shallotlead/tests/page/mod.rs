//! The real binary against a stand-in for an instance that serves one page.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    process::Command,
    thread,
};

/// Exit status and text of the subcommand.
pub(crate) fn run(subcommand: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallotlead"));
    let output = command.arg(subcommand).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.code(), text.into_owned())
}

/// Answers one request for the page at `path`. Returns its address.
pub(crate) fn serve(path: &'static str, body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(&stream).lines().map(Result::unwrap);
        assert_eq!(lines.next().unwrap(), format!("GET {path} HTTP/1.1"));
        lines.find(String::is_empty).unwrap();
        let length = body.len();
        write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
    });
    address.to_string()
}
