use super::{Error, connection_error};
use displaydoc::Display;
use std::io;

/// call failed
#[derive(Debug, Display)]
struct CallError(io::Error);

impl std::error::Error for CallError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Returns the error of a call whose connection fails with an I/O error of this kind.
fn classify(kind: io::ErrorKind) -> Error {
    connection_error(&CallError(kind.into()))
}

// Guards against taking an unreachable server for one that has crashed.
#[test]
fn a_peer_that_stopped_responding_is_told_from_one_that_closed_the_connection() {
    let unresponsive = [io::ErrorKind::TimedOut, io::ErrorKind::HostUnreachable].map(classify);
    let broken = [io::ErrorKind::ConnectionReset, io::ErrorKind::UnexpectedEof].map(classify);

    assert!(unresponsive.iter().all(|error| matches!(error, Error::Unresponsive(_))));
    assert!(broken.iter().all(|error| matches!(error, Error::Broken(_))));
}
