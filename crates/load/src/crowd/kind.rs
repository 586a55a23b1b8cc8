//! Kinds of misbehaving callers.

use super::Crowd;
use std::io;
use std::str::FromStr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Bytes that are written at once.
const PIECE: &[u8] = &[b'x'; 64 << 10];
/// Bytes of a small piece of a body.
const SMALL_PIECE_BYTES: usize = 1 << 10;
/// Pause between small pieces, and between the bytes of a slow head.
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// Requests that are sent at once on one connection.
const PIPELINED: usize = 400;
/// Length of a body that is far over any limit, in bytes.
const BODY_BYTES_OVER: usize = 64 << 20;
/// Fields of a head that a host accepts, and of one of legal size that it may refuse.
const FIELDS: [usize; 2] = [90, 2_400];
/// Time for which a caller that does nothing more keeps its connection; longer than any crowd stays.
const FOREVER: Duration = Duration::from_secs(600);

/// A kind of misbehaving callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Sends a body of legal size in one piece, but for its last byte.
    Short,
    /// Sends a body of legal size in small pieces, and never its end.
    Pieces,
    /// Sends a chunked body of legal size, and never its end.
    Chunked,
    /// Sends a body far over the limit.
    Over,
    /// Sends very many short header fields, and not the body.
    Fields,
    /// Sends many requests at once and reads no answer.
    Pipelined,
    /// Sends a head byte by byte.
    SlowHead,
    /// Sends half a head.
    HalfHead,
    /// Sends nothing.
    Silent,
    /// Reads a large answer byte by byte.
    SlowReader,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 10] = [
        Kind::Short,
        Kind::Pieces,
        Kind::Chunked,
        Kind::Over,
        Kind::Fields,
        Kind::Pipelined,
        Kind::SlowHead,
        Kind::HalfHead,
        Kind::Silent,
        Kind::SlowReader,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Short => "short",
            Kind::Pieces => "pieces",
            Kind::Chunked => "chunked",
            Kind::Over => "over",
            Kind::Fields => "fields",
            Kind::Pipelined => "pipelined",
            Kind::SlowHead => "slow-head",
            Kind::HalfHead => "half-head",
            Kind::Silent => "silent",
            Kind::SlowReader => "slow-reader",
        }
    }

    /// Plays one connection until the host closes it. `number` varies the path and the number of fields.
    ///
    /// # Errors
    ///
    /// The error of a connection that the host closed.
    pub async fn play(self, crowd: &Crowd, number: usize) -> io::Result<()> {
        let mut tcp = self.connect(crowd).await?;
        let path = self.path(crowd, number);
        let body_bytes = crowd.body_bytes;
        match self {
            Kind::Short => {
                let head = head(crowd, "POST", &path, &length(body_bytes));
                tcp.write_all(head.as_bytes()).await?;
                write_body(&mut tcp, body_bytes - 1).await?;
            }
            Kind::Pieces => {
                let head = head(crowd, "POST", &path, &length(body_bytes));
                tcp.write_all(head.as_bytes()).await?;
                for _ in 0..body_bytes.saturating_sub(1) / SMALL_PIECE_BYTES {
                    tcp.write_all(&PIECE[..SMALL_PIECE_BYTES]).await?;
                    sleep(PIECE_PAUSE).await;
                }
            }
            Kind::Chunked => {
                let head = head(crowd, "POST", &path, "transfer-encoding: chunked\r\n");
                tcp.write_all(head.as_bytes()).await?;
                for _ in 0..body_bytes / PIECE.len() {
                    tcp.write_all(format!("{:x}\r\n", PIECE.len()).as_bytes()).await?;
                    tcp.write_all(PIECE).await?;
                    tcp.write_all(b"\r\n").await?;
                }
            }
            Kind::Over => {
                let head = head(crowd, "POST", &path, &length(BODY_BYTES_OVER));
                tcp.write_all(head.as_bytes()).await?;
                write_body(&mut tcp, BODY_BYTES_OVER).await?;
            }
            Kind::Fields => {
                let mut fields = length(body_bytes);
                for field in 0..FIELDS[number % FIELDS.len()] {
                    fields += &format!("{field:x}:\r\n");
                }
                tcp.write_all(head(crowd, "POST", &path, &fields).as_bytes()).await?;
            }
            Kind::Pipelined => {
                let request = head(crowd, "GET", &path, "");
                tcp.write_all(request.repeat(PIPELINED).as_bytes()).await?;
                // The answers stay unread: bytes on this connection would be taken from its buffer.
                sleep(FOREVER).await;
            }
            Kind::SlowHead => {
                for byte in head(crowd, "GET", &path, "").bytes() {
                    tcp.write_all(&[byte]).await?;
                    sleep(PIECE_PAUSE).await;
                }
            }
            Kind::HalfHead => {
                let head = head(crowd, "GET", &path, "");
                tcp.write_all(&head.as_bytes()[..head.len() / 2]).await?;
            }
            Kind::Silent => {}
            Kind::SlowReader => {
                tcp.write_all(head(crowd, "GET", &path, "").as_bytes()).await?;
                loop {
                    if tcp.read(&mut [0]).await? == 0 {
                        return Ok(());
                    }
                    sleep(PIECE_PAUSE).await;
                }
            }
        }
        // Waits for the host to close the connection.
        let mut buffer = [0; 1 << 10];
        while tcp.read(&mut buffer).await? > 0 {}
        Ok(())
    }

    /// Opens a connection. The buffer of a caller that doesn't read is small, so that the host holds its answers.
    async fn connect(self, crowd: &Crowd) -> io::Result<TcpStream> {
        let socket = match crowd.entry {
            std::net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
            std::net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if matches!(self, Kind::Pipelined | Kind::SlowReader) {
            socket.set_recv_buffer_size(4 << 10)?;
        }
        socket.connect(crowd.entry).await
    }

    /// Returns the path of a connection: every fourth one has no route, and every fourth is the readiness path.
    fn path(self, crowd: &Crowd, number: usize) -> String {
        match (self, number % 4) {
            (Kind::SlowReader, _) => format!("{}large", crowd.path),
            (_, 2) => "/without/route".to_owned(),
            (_, 3) => "/readyz".to_owned(),
            _ => crowd.path.clone(),
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(name: &str) -> Result<Kind, String> {
        let found = Kind::ALL.into_iter().find(|kind| kind.name() == name);
        found.ok_or_else(|| {
            let names: Vec<_> = Kind::ALL.iter().map(|kind| kind.name()).collect();
            format!("`{name}` is none of {}", names.join(", "))
        })
    }
}

/// Returns the field that states the length of a body.
fn length(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n")
}

/// Returns the head of a request with further fields.
pub(super) fn head(crowd: &Crowd, method: &str, path: &str, fields: &str) -> String {
    let key = match &crowd.key {
        Some(key) => format!("authorization: Bearer {key}\r\n"),
        None => String::new(),
    };
    let host = &crowd.host;
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-chestnutrack-request: crowd\r\n{key}{fields}\r\n"
    )
}

/// Writes a part of a body.
async fn write_body(tcp: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let mut left = bytes;
    while left > 0 {
        let piece = &PIECE[..left.min(PIECE.len())];
        tcp.write_all(piece).await?;
        left -= piece.len();
    }
    Ok(())
}
