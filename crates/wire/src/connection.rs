//! WebSocket connections that carry frames, over TCP or TLS.
//!
//! A connection is split into a receiver and a sender with a bounded queue, which a writer task
//! drains. A failure of the socket ends both halves.

use crate::codec;
use crate::frame::Frame;
use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use rustls::pki_types::ServerName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_rustls::{TlsAcceptor, TlsConnector};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};

/// Longest time to establish a connection, in milliseconds.
pub const OPEN_TIMEOUT_MS: u64 = 1_000;
/// Buffer size for each direction of a connection, in bytes; larger frames pass in parts. The library's
/// default of 128 KiB takes 40 MB for 300 connections.
const BUFFER_BYTES: usize = 4 << 10;
/// Frames that may be queued for a slow peer; further ones fail with [`Error::Closed`], and the
/// connection is given up.
pub const QUEUE_FRAMES: usize = 4_096;

/// Why a connection could not be established or has ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// could not connect to {0}: {1}
    Connect(SocketAddr, String),
    /// handshake failed: {0}
    Handshake(String),
    /// connection failed: {0}
    Broken(String),
    /// peer sent an invalid frame: {0}
    Frame(codec::Error),
    /// connection was closed
    Closed,
}

impl std::error::Error for Error {}

/// TLS certificates and trust anchors for connections between the system's own processes.
#[derive(Clone)]
pub struct Security {
    /// Configuration for outgoing connections.
    pub client: Arc<rustls::ClientConfig>,
    /// Configuration for incoming connections.
    pub server: Arc<rustls::ServerConfig>,
}

/// Subject name in the certificate of every process.
const SERVER_NAME: &str = "chestnutrack";

/// A TCP or TLS stream.
trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// WebSocket over a TCP or TLS stream.
type Socket = WebSocketStream<Box<dyn Stream>>;

/// An open connection.
pub struct Connection {
    /// Sends frames to the peer.
    pub sender: Sender,
    /// Receives frames from the peer.
    pub receiver: Receiver,
    /// The peer's address.
    pub peer: SocketAddr,
}

/// Sending half of a connection; cheap to clone. Dropping the last clone closes the connection.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::Sender<Message>);

impl Sender {
    /// Queues a frame without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection has ended or its queue is full, and
    /// [`Error::Frame`] for a frame that is too large.
    pub fn send(&self, frame: &Frame) -> Result<(), Error> {
        self.send_encoded(codec::encode(frame).map_err(Error::Frame)?)
    }

    /// Queues an encoded frame without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection has ended or its queue is full.
    pub fn send_encoded(&self, frame: impl Into<Bytes>) -> Result<(), Error> {
        self.0.try_send(Message::binary(frame)).map_err(|_| Error::Closed)
    }

    /// Waits until the queue is empty, then queues an encoded frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection has ended, or if other frames have filled the queue
    /// in the meantime.
    pub async fn send_when_empty(&self, frame: impl Into<Bytes>) -> Result<(), Error> {
        let permits = self.0.reserve_many(QUEUE_FRAMES).await;
        permits.map(drop).map_err(|_| Error::Closed)?;
        self.send_encoded(frame)
    }

    /// Returns `true` if the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Receiving half of a connection.
pub struct Receiver(SplitStream<Socket>);

impl Receiver {
    /// Waits for the next frame. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] at the end of the connection, [`Error::Broken`] if it failed, and
    /// [`Error::Frame`] for an invalid frame.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        loop {
            let message = match self.0.next().await {
                Some(Ok(message)) => message,
                Some(Err(SocketError::ConnectionClosed)) | None => return Err(Error::Closed),
                Some(Err(error)) => return Err(Error::Broken(error.to_string())),
            };
            match message {
                Message::Binary(bytes) => return codec::decode(&bytes).map_err(Error::Frame),
                Message::Close(_) => return Err(Error::Closed),
                Message::Text(_) => {
                    let text = "unexpected text message".to_owned();
                    return Err(Error::Frame(codec::Error::Invalid(text)));
                }
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

/// Opens a connection to a process.
///
/// # Errors
///
/// Returns [`Error::Connect`] if the process is unreachable or opening takes longer than
/// [`OPEN_TIMEOUT_MS`], [`Error::Handshake`] if the TLS or WebSocket handshake fails, and
/// [`Error::Broken`] if the socket has failed.
pub async fn connect(address: SocketAddr, tls: Option<&Security>) -> Result<Connection, Error> {
    let opening = async {
        let tcp = TcpStream::connect(address)
            .await
            .map_err(|error| Error::Connect(address, error.to_string()))?;
        client_handshake(tcp, address, tls).await
    };
    let timed_out = Error::Connect(address, "timed out".to_owned());
    timeout(Duration::from_millis(OPEN_TIMEOUT_MS), opening).await.unwrap_or(Err(timed_out))
}

/// Performs the client's TLS and WebSocket handshakes on an open TCP connection; without `tls` only the
/// latter. Sets no time limit; [`connect`] limits the time of the whole opening.
///
/// # Errors
///
/// Returns [`Error::Handshake`] if a handshake fails, and [`Error::Broken`] if the socket has failed.
pub async fn client_handshake(
    tcp: TcpStream,
    address: SocketAddr,
    tls: Option<&Security>,
) -> Result<Connection, Error> {
    tcp.set_nodelay(true).map_err(|error| Error::Broken(error.to_string()))?;
    let stream = client_stream(tcp, tls).await?;
    let url = format!("ws://{address}/frames");
    let opened =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await;
    let (socket, _) = opened.map_err(|error| Error::Handshake(error.to_string()))?;
    Ok(into_connection(socket, address))
}

/// Performs the server's TLS and WebSocket handshakes on an accepted TCP connection; without `tls` only
/// the latter.
///
/// # Errors
///
/// Returns [`Error::Handshake`] if a handshake fails or both take longer than [`OPEN_TIMEOUT_MS`], and
/// [`Error::Broken`] if the socket has failed.
pub async fn accept(
    tcp: TcpStream,
    peer: SocketAddr,
    tls: Option<&Security>,
) -> Result<Connection, Error> {
    let opening = async {
        tcp.set_nodelay(true).map_err(|error| Error::Broken(error.to_string()))?;
        let stream = server_stream(tcp, tls).await?;
        let opened =
            tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await;
        let socket = opened.map_err(|error| Error::Handshake(error.to_string()))?;
        Ok(into_connection(socket, peer))
    };
    let timed_out = Error::Handshake("timed out".to_owned());
    timeout(Duration::from_millis(OPEN_TIMEOUT_MS), opening).await.unwrap_or(Err(timed_out))
}

/// Performs the client's TLS handshake, or returns the TCP connection unchanged if `tls` is `None`.
async fn client_stream(tcp: TcpStream, tls: Option<&Security>) -> Result<Box<dyn Stream>, Error> {
    let Some(security) = tls else {
        return Ok(Box::new(tcp));
    };
    let name =
        ServerName::try_from(SERVER_NAME).map_err(|error| Error::Handshake(error.to_string()))?;
    let connector = TlsConnector::from(security.client.clone());
    let stream = connector.connect(name, tcp).await;
    Ok(Box::new(stream.map_err(|error| Error::Handshake(error.to_string()))?))
}

/// Performs the server's TLS handshake, or returns the TCP connection unchanged if `tls` is `None`.
async fn server_stream(tcp: TcpStream, tls: Option<&Security>) -> Result<Box<dyn Stream>, Error> {
    let Some(security) = tls else {
        return Ok(Box::new(tcp));
    };
    let stream = TlsAcceptor::from(security.server.clone()).accept(tcp).await;
    Ok(Box::new(stream.map_err(|error| Error::Handshake(error.to_string()))?))
}

/// Returns the settings of both ends: small buffers, and messages of at most one frame's size.
fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(codec::FRAME_BYTES_MAX))
        .max_frame_size(Some(codec::FRAME_BYTES_MAX))
}

/// Splits a socket into a receiver and a sender, and starts the task that writes the sender's frames.
fn into_connection(socket: Socket, peer: SocketAddr) -> Connection {
    let (sink, stream) = socket.split();
    let (queue, messages) = mpsc::channel(QUEUE_FRAMES);
    tokio::spawn(write_messages(sink, messages));
    Connection { sender: Sender(queue), receiver: Receiver(stream), peer }
}

/// Writes queued messages until the last sender is dropped or the socket fails. Flushes only when the
/// queue is empty, so that messages queued together are sent together.
async fn write_messages(
    mut sink: SplitSink<Socket, Message>,
    mut messages: mpsc::Receiver<Message>,
) {
    while let Some(message) = messages.recv().await {
        if sink.feed(message).await.is_err() {
            return;
        }
        while let Ok(message) = messages.try_recv() {
            if sink.feed(message).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}
