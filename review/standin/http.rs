//! HTTP/1.1 over blocking sockets: requests, responses and bodies, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or a response. `line` holds the three words of its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a message with its body. `is_response` says whether a body without a length ends with the connection.
pub fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Message> {
    let first = read_line(reader)?;
    let mut words = first.splitn(3, ' ').map(str::to_owned);
    let mut next = || words.next().unwrap_or_default();
    let mut message = Message { line: [next(), next(), next()], ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| broken("chunk"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    match message.header("content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            message.body.resize(length, 0);
            reader.read_exact(&mut message.body)?;
        }
        None if is_response && message.status() != 204 => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(message)
}

/// Returns the bytes of a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// A client's channel that is kept for several requests.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Channel { reader: BufReader::new(tcp) })
    }

    /// Sends part of a request.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    pub fn call(&mut self, head: &str, body: &[u8]) -> io::Result<Message> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend(body);
        self.reader.get_mut().write_all(&bytes)?;
        read(&mut self.reader, true)
    }
}
