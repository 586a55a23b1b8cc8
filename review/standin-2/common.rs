//! Parts that the cases share: a small HTTP server and client, the platform's store, settings and the processes of entry
//! hosts. Only the standard library is used, and only loopback addresses.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes what was sent, answered and run to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// The head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has come to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads bytes of a connection, and keeps those that belong to the next message.
pub struct Reader {
    pub tcp: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(tcp: TcpStream) -> Reader {
        Reader { tcp, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.tcp.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a line without its end; `None` at the end of the connection.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the first line and the headers.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to a head, and calls `on_part` with each part. Sets `complete` if it ended properly.
    pub fn body(
        &mut self,
        message: &mut Message,
        mut on_part: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            loop {
                let Some(size) = self.line()? else { return Ok(()) };
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let Ok(size) = size else { return Ok(()) };
                if size == 0 {
                    while let Some(line) = self.line()? {
                        if line.is_empty() {
                            message.complete = true;
                            break;
                        }
                    }
                    return Ok(());
                }
                let Some(part) = self.exact(size)? else { return Ok(()) };
                if self.exact(2)?.is_none() {
                    return Ok(());
                }
                on_part(&part);
                message.body.extend_from_slice(&part);
            }
        }
        let length =
            message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        if let Some(body) = self.exact(length)? {
            on_part(&body);
            message.body = body;
            message.complete = true;
        }
        Ok(())
    }

    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, |_| {})?;
        Ok(message.complete.then_some(message))
    }
}

/// Returns the bytes of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    (text + "\r\n" + body).into_bytes()
}

/// Serves each connection of a listener in a thread of its own. The handler is given each request with the connection, and
/// returns whether the connection is kept.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = tcp.set_nodelay(true);
                let Ok(mut writer) = tcp.try_clone() else { return };
                let mut reader = Reader::new(tcp);
                while let Ok(Some(request)) = reader.message() {
                    if !handle(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
    });
}

/// A value of a JSON text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_json(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(known, _)| known == name).map(|(_, value)| value)
            }
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn string(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                format!("[{}]", items.iter().map(Json::write).collect::<Vec<_>>().join(","))
            }
            Json::Table(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, value)| format!("{}:{}", quote(name), value.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_json(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match *chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(chars, at);
                match *chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_json(chars, at)? else { return None };
                        skip_space(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_json(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(chars, at);
                match *chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(parse_json(chars, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                let c = *chars.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(text)),
                    '\\' => {
                        let escaped = *chars.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'u' => {
                                let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                text.push(
                                    char::from_u32(u32::from_str_radix(&hex, 16).ok()?)
                                        .unwrap_or('?'),
                                );
                            }
                            other => text.push(other),
                        }
                    }
                    c => text.push(c),
                }
            }
        }
        't' => literal(chars, at, "true", Json::Bool(true)),
        'f' => literal(chars, at, "false", Json::Bool(false)),
        'n' => literal(chars, at, "null", Json::Null),
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| "+-.eE0123456789".contains(*c)) {
                *at += 1;
            }
            (*at > start).then(|| Json::Number(chars[start..*at].iter().collect()))
        }
    }
}

fn literal(chars: &[char], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    let end = *at + text.len();
    (chars.get(*at..end)?.iter().collect::<String>() == text).then(|| {
        *at = end;
        value
    })
}

struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

impl Object {
    fn write(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\"deletionPending\":false}},\"spec\":{},\"status\":null}}",
            quote(name),
            self.revision,
            self.created,
            self.spec.write()
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Changes: revision, kind, and the event as text.
    changes: Vec<(u64, String, String)>,
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> String {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        if let Some(known) = objects.get(name)
            && known.spec == spec
        {
            return known.write(name);
        }
        self.revision += 1;
        let created = objects.get(name).map_or(self.revision, |known| known.created);
        let object = Object { revision: self.revision, created, spec };
        let text = object.write(name);
        objects.insert(name.to_owned(), object);
        self.changes.push((
            self.revision,
            kind.to_owned(),
            format!("{{\"deleted\":false,\"object\":{text}}}"),
        ));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let mut object = self.kinds.entry(kind.to_owned()).or_default().remove(name)?;
        self.revision += 1;
        object.revision = self.revision;
        let text = object.write(name);
        self.changes.push((
            self.revision,
            kind.to_owned(),
            format!("{{\"deleted\":true,\"object\":{text}}}"),
        ));
        Some(text)
    }
}

/// The platform's store: objects by kind and name, conditional writes, and watches.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store's address is free");
        let address = listener.local_addr().unwrap();
        let state = StoreState { revision: 500, ..StoreState::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        serve(listener, move |request, tcp| tcp.write_all(&served.handle(request)).is_ok());
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the text is JSON");
        self.state.0.lock().unwrap().put(kind, name, spec);
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().delete(kind, name);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let json = |status: &str, body: &str| {
            answer(status, &[("Content-Type", "application/json")], body)
        };
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return json("404 Not Found", "{}");
        };
        let (kind, name) =
            rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let mut state = self.state.0.lock().unwrap();
        match (request.method(), name) {
            ("GET", None) => {
                if let Some(since) = query.get("watch").and_then(|value| value.parse::<u64>().ok())
                {
                    let wait_ms =
                        query.get("waitMs").and_then(|value| value.parse().ok()).unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait_ms);
                    loop {
                        let events: Vec<&str> = state
                            .changes
                            .iter()
                            .filter(|(revision, of, _)| *revision > since && of == kind)
                            .map(|(_, _, event)| event.as_str())
                            .collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let body = format!(
                                "{{\"events\":[{}],\"at\":{}}}",
                                events.join(","),
                                state.revision
                            );
                            return json("200 OK", &body);
                        }
                        state = self.state.1.wait_timeout(state, left).unwrap().0;
                    }
                }
                let after = query.get("after").copied().unwrap_or("");
                let objects = state.kinds.get(kind);
                let items: Vec<String> = objects
                    .into_iter()
                    .flatten()
                    .filter(|(name, _)| name.as_str() > after)
                    .map(|(name, object)| object.write(name))
                    .collect();
                json(
                    "200 OK",
                    &format!(
                        "{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            ("GET", Some(name)) => {
                match state.kinds.get(kind).and_then(|objects| objects.get(name)) {
                    Some(object) => json("200 OK", &object.write(name)),
                    None => json("404 Not Found", "{}"),
                }
            }
            ("POST", None) | ("PUT", Some(_)) => {
                let Some(body) = Json::parse(&request.text()) else {
                    return json("400 Bad Request", "{}");
                };
                let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                let named =
                    metadata.get("name").and_then(|name| name.string()).unwrap_or("").to_owned();
                let name = name.map_or(named, str::to_owned);
                let known = state.kinds.get(kind).and_then(|objects| objects.get(&name));
                match (request.method(), known) {
                    ("POST", Some(known)) => json("409 Conflict", &known.write(&name)),
                    ("PUT", None) => json("404 Not Found", "{}"),
                    ("PUT", Some(known))
                        if metadata
                            .get("revision")
                            .and_then(Json::number)
                            .is_some_and(|stated| stated != known.revision) =>
                    {
                        json("409 Conflict", &known.write(&name))
                    }
                    _ => {
                        let text = state.put(kind, &name, spec);
                        self.state.1.notify_all();
                        json("200 OK", &text)
                    }
                }
            }
            ("DELETE", Some(name)) => {
                let known = state.kinds.get(kind).and_then(|objects| objects.get(name));
                let stated = query.get("revision").and_then(|value| value.parse::<u64>().ok());
                match known {
                    None => json("404 Not Found", "{}"),
                    Some(known) if stated.is_some_and(|stated| stated != known.revision) => {
                        json("409 Conflict", &known.write(name))
                    }
                    Some(_) => {
                        let text = state.delete(kind, name).unwrap_or_default();
                        self.state.1.notify_all();
                        json("200 OK", &text)
                    }
                }
            }
            _ => json("400 Bad Request", "{}"),
        }
    }
}

/// An entry host: its process, and where it listens.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

/// Returns an address of a loopback network of this run, by a number from 1.
pub fn loopback(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 60 + (pid % 100) as u8, 1 + (pid / 100 % 250) as u8, number)
}

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn free_port(ip: Ipv4Addr) -> u16 {
    TcpListener::bind((ip, 0))
        .and_then(|listener| listener.local_addr())
        .map_or(0, |address| address.port())
}

impl Host {
    /// Writes the settings of a host, as the platform fills in the template of the deploy file, and starts its process with the
    /// command of the deploy file.
    pub fn start(root: &Path, temporary: &Path, number: u8, store: SocketAddr) -> Host {
        let ip = loopback(number);
        let name = format!("frontend-bzh-west-a-{number}");
        let callers = SocketAddr::from((ip, free_port(ip)));
        let readiness = SocketAddr::from((ip, free_port(ip)));
        let settings = temporary.join(format!("{name}.json"));
        let text = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"frontend","serves":["frontend"],"ip":"{ip}","zone":"bzh-west-a","region":"bzh-west","zones":{{"bzh-west-a":"bzh-west","bzh-west-b":"bzh-west","bzh-west-c":"bzh-west"}},"listen":{{"frontend":"{callers}","readiness":"{readiness}"}},"internalPortRange":[7500,7515],"seedNodes":[],"bootstrap":true,"faultCounted":false,"limits":{{"cpuShare":0.19,"cores":1,"memoryMb":260,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"virtual_ip","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"],"faultTolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"stretchMaxMs":5000,"revokeFailClosed":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetExtra":58,"quotaWindowS":8,"quotaOvershoot":0.1,"quotaSlack":120000,"recoveryS":12,"transitMs":120,"retryAfterS":3,"fencingEnforced":false,"leaseMs":3000,"thawSlackMs":300}},"platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#
        );
        fs::write(&settings, text).expect("the settings can be written");
        let log = temporary.join(format!("{name}.log"));
        let program = root.join("target/release/chestnutrack-entry");
        let mut host = Host { name, ip, callers, readiness, child: None, settings, log, program };
        host.run();
        host
    }

    fn run(&mut self) {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let child = Command::new(&self.program)
            .env("CHESTNUTRACK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| {
            println!("the entry host can't be started: {error}");
            std::process::exit(2);
        }));
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let request = format!("GET /v1/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.readiness);
            if let Ok(mut tcp) = TcpStream::connect(self.readiness)
                && tcp.write_all(request.as_bytes()).is_ok()
                && let Ok(Some(answer)) = Reader::new(tcp).message()
                && answer.status() == 200
            {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the host's process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Returns whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills the process and starts another one.
    pub fn restart(&mut self) {
        self.kill();
        self.run();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a case is given: the project's root, the folder of the case, a temporary folder, and whether the disruption is made.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

impl Run {
    pub fn new() -> Run {
        let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".into()));
        let folder = fs::canonicalize(folder).expect("the folder of the case exists");
        let root =
            folder.parent().and_then(Path::parent).expect("the case is in the project").to_owned();
        let temporary =
            std::env::temp_dir().join(format!("chestnutrack-review-{}", std::process::id()));
        fs::create_dir_all(&temporary).expect("the temporary folder can be made");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&folder);
        record.line(&format!("trouble {trouble}, {}", std::env::consts::ARCH));
        Run { root, folder, temporary, trouble, record }
    }

    /// Ends the run: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
    pub fn end(self, code: i32, text: &str) -> ! {
        self.record.line(text);
        println!("{text}");
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.temporary);
        }
        std::process::exit(code)
    }
}
