//! Stand-in of the platform's metadata store: lists in pages, watches, conditional writes.

use crate::http;
use crate::json::{self, Json, quote};
use crate::note;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the store takes for an answer, as the pages say.
const ANSWER: Duration = Duration::from_millis(4);
/// Revision before the first change.
const FIRST_REVISION: u64 = 10;
/// Most items and bytes of a page, as the pages say.
const PAGE: (usize, usize) = (500, 1 << 20);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
    /// The change, for a copy of the store that is some time behind.
    at: Instant,
    name: String,
    object: Option<Object>,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

pub struct Store {
    pub address: SocketAddr,
    inner: Mutex<Inner>,
    changed: Condvar,
    /// Age of the copy that answers serializable calls for a page after the first one, in milliseconds.
    pub stale_ms: AtomicU64,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\"deletionPending\":false}},\"spec\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.created,
        object.spec
    )
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Store {
            address: listener.local_addr()?,
            inner: Mutex::new(Inner { revision: FIRST_REVISION, ..Inner::default() }),
            changed: Condvar::new(),
            stale_ms: AtomicU64::new(0),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ = store.serve(tcp);
                });
            }
        });
        Ok(store)
    }

    /// Writes an object whatever its revision. Returns when the store has confirmed it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.write(kind, name, None, spec).ok();
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        self.delete(kind, name, None).ok();
        Instant::now()
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        spec: &str,
    ) -> Result<String, (u16, String)> {
        let mut inner = self.inner.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let current = inner.objects.get(&key).cloned();
        match (&current, expected) {
            (Some(object), Some(expected)) if object.revision != expected => {
                return Err((409, object_text(name, object)));
            }
            (None, Some(expected)) if expected != 0 => return Err((404, "{}".into())),
            _ => {}
        }
        if let Some(object) = &current
            && object.spec == spec
        {
            return Ok(object_text(name, object));
        }
        inner.revision += 1;
        let revision = inner.revision;
        let object = Object {
            revision,
            created: current.map_or(revision, |object| object.created),
            spec: spec.to_owned(),
        };
        let text = object_text(name, &object);
        inner.objects.insert(key, object.clone());
        self.record(&mut inner, kind, name, (revision, Some(object)), &text);
        Ok(text)
    }

    fn delete(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<String, (u16, String)> {
        let mut inner = self.inner.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = inner.objects.get(&key).cloned() else {
            return Err((404, "{}".into()));
        };
        if expected.is_some_and(|expected| expected != object.revision) {
            return Err((409, object_text(name, &object)));
        }
        inner.objects.remove(&key);
        inner.revision += 1;
        object.revision = inner.revision;
        let text = object_text(name, &object);
        self.record(&mut inner, kind, name, (object.revision, None), &text);
        Ok(text)
    }

    /// Records a change and wakes the watches.
    fn record(
        &self,
        inner: &mut Inner,
        kind: &str,
        name: &str,
        (revision, object): (u64, Option<Object>),
        text: &str,
    ) {
        inner.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text: format!("{{\"deleted\":{},\"object\":{text}}}", object.is_none()),
            at: Instant::now(),
            name: name.to_owned(),
            object,
        });
        self.changed.notify_all();
    }

    /// Returns a page of the objects of a kind, as they were `age` ago.
    fn list(&self, kind: &str, after: &str, age: Duration) -> String {
        let inner = self.inner.lock().unwrap();
        let (mut objects, mut revision) = (BTreeMap::new(), FIRST_REVISION);
        for event in inner.events.iter().filter(|event| event.at.elapsed() >= age) {
            revision = event.revision;
            if event.kind == kind {
                match &event.object {
                    Some(object) => objects.insert(event.name.as_str(), object),
                    None => objects.remove(event.name.as_str()),
                };
            }
        }
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, object) in objects.into_iter().filter(|(name, _)| *name > after) {
            let text = object_text(name, object);
            if items.len() == PAGE.0 || bytes + text.len() > PAGE.1 {
                more = true;
                break;
            }
            bytes += text.len();
            items.push(text);
        }
        if kind == "servers" {
            note(&format!(
                "store: page of {kind} after {after:?}, as of {revision}, {} ms old",
                age.as_millis()
            ));
        }
        format!("{{\"items\":[{}],\"hasMore\":{more},\"at\":{revision}}}", items.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            let events: Vec<String> = inner
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| event.text.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), inner.revision);
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn serve(&self, tcp: TcpStream) -> std::io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut reader = BufReader::new(tcp);
        loop {
            let call = http::read(&mut reader, false)?;
            let (path, query) = call.line[1].split_once('?').unwrap_or((&call.line[1], ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
            };
            let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
            let mut parts = path.trim_start_matches("/v1/objects/").split('/');
            let (kind, name) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
            let body = json::parse(&call.body).unwrap_or(Json::Null);
            let metadata = body.get("metadata");
            thread::sleep(ANSWER);
            let answer = match (call.line[0].as_str(), name) {
                ("GET", "") => match number("watch") {
                    Some(after) => {
                        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                        Ok(self.watch(kind, after, wait))
                    }
                    None => {
                        let after = parameter("after");
                        let may_be_stale = after.is_some() && parameter("serializable").is_some();
                        let stale_ms = self.stale_ms.load(Ordering::SeqCst);
                        let age = Duration::from_millis(if may_be_stale { stale_ms } else { 0 });
                        Ok(self.list(kind, &after.unwrap_or_default(), age))
                    }
                },
                ("GET", _) => {
                    let inner = self.inner.lock().unwrap();
                    let object = inner.objects.get(&(kind.to_owned(), name.to_owned()));
                    object.map(|object| object_text(name, object)).ok_or((404, "{}".into()))
                }
                ("POST", _) => {
                    let name = metadata.get("name").text().unwrap_or("").to_owned();
                    match self.write(kind, &name, Some(0), &body.get("spec").write()) {
                        Err((404, text)) => Err((404, text)),
                        answer => answer,
                    }
                }
                ("PUT", _) => self.write(
                    kind,
                    name,
                    metadata.get("revision").number(),
                    &body.get("spec").write(),
                ),
                ("DELETE", _) => self.delete(kind, name, number("revision")),
                _ => Err((404, "{}".into())),
            };
            let json_type = [("Content-Type", "application/json")];
            let bytes = match answer {
                Ok(text) => http::response(200, &json_type, text.as_bytes()),
                Err((status, text)) => http::response(status, &json_type, text.as_bytes()),
            };
            if reader.get_mut().write_all(&bytes).is_err() {
                note(&format!("store: answer to {} not sent", call.line[1]));
                return Ok(());
            }
        }
    }
}
