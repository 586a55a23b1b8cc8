//! Stand-in of a replica of a plain service. It behaves as the pages say: slots and a short queue, `Expected-Instance`,
//! the echo of `Attempt-Id`, a receipt. On request it spoils answers, and it leaves.

use crate::http::{self, Message};
use crate::note;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A run of a request, as the replica saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub arrived: Instant,
    /// Whether the answer was written before the replica ended.
    pub answered: bool,
}

pub struct Settings {
    pub service: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub settings: Settings,
    /// Every so many answers are followed by additional bytes; 0 for none.
    pub spoiled_each: AtomicUsize,
    answers: AtomicUsize,
    pub spoiled: AtomicUsize,
    /// Requests that run, and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    pub fn start(
        ip: &str,
        id: &str,
        settings: Settings,
        runs: Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Arc<Replica>> {
        let listener = TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            address: listener.local_addr()?,
            settings,
            spoiled_each: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            spoiled: AtomicUsize::new(0),
            load: Mutex::default(),
            freed: Condvar::new(),
            ended: AtomicBool::new(false),
            channels: Mutex::default(),
            runs,
        });
        let shared = replica.clone();
        thread::spawn(move || {
            while !shared.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((tcp, _)) => {
                        let _ = tcp.set_nonblocking(false);
                        let _ = tcp.set_nodelay(true);
                        if let Ok(channel) = tcp.try_clone() {
                            shared.channels.lock().unwrap().push(channel);
                        }
                        let replica = shared.clone();
                        thread::spawn(move || {
                            let _ = replica.serve(tcp);
                        });
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(2));
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(replica)
    }

    /// Entry of the replica in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
            self.settings.service, self.address, self.settings.slots
        )
    }

    /// Exits: no channel goes on.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// Takes a slot, or waits for one in the queue. Returns `false` if the queue is full.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 < self.settings.slots {
            load.0 += 1;
            return true;
        }
        if load.1 >= self.settings.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.settings.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn serve(&self, tcp: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(tcp);
        // Additional bytes that arrive where the next answer on this channel is expected.
        let mut late: Option<Vec<u8>> = None;
        loop {
            let request = http::read(&mut reader, false)?;
            if let Some(bytes) = late.take() {
                reader.get_mut().write_all(&bytes)?;
            }
            let (status, bytes, body) = self.answer(&request);
            reader.get_mut().write_all(&bytes)?;
            if status == 200
                && let Some(id) = request.header("attempt-id")
            {
                let mut runs = self.runs.lock().unwrap();
                if let Some(run) = runs.iter_mut().rev().find(|run| run.id == id) {
                    run.answered = !self.ended.load(Ordering::SeqCst);
                }
            }
            let count = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let each = self.spoiled_each.load(Ordering::SeqCst);
            if each > 0 && count % each == 0 {
                self.spoiled.fetch_add(1, Ordering::SeqCst);
                note(&format!(
                    "{}: additional bytes after its answer {status} to {}",
                    self.id,
                    request.header("attempt-id").unwrap_or("-")
                ));
                // The body of that answer once more, behind a status line and a length, without the echo and the receipt.
                late = Some(http::response(status, &[], body.as_bytes()));
            }
        }
    }

    /// Returns the status, the bytes and the body of the answer to a request.
    fn answer(&self, request: &Message) -> (u16, Vec<u8>, String) {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        if request.line[1] == "/health" {
            return (200, http::response(200, &[("Instance-Id", &self.id)], b""), String::new());
        }
        if request.header("expected-instance").is_some_and(|expected| expected != self.id) {
            let bytes = http::response(421, &[("Instance-Id", &self.id)], b"");
            return (421, bytes, String::new());
        }
        let arrived = Instant::now();
        if !self.take_slot() {
            note(&format!("{}: sheds {id}", self.id));
            return (503, http::response(503, &[("Not-Executed", "1")], b""), String::new());
        }
        let run = Run { id: id.clone(), replica: self.id.clone(), arrived, answered: false };
        self.runs.lock().unwrap().push(run);
        note(&format!("{}: runs {id}", self.id));
        thread::sleep(self.settings.work);
        self.free_slot();
        let body = format!("receipt of {id}: {}", request.text());
        let signature = format!("sig.{id}.{}", body.len());
        let headers = [("Attempt-Id", id.as_str()), ("Response-Signature", signature.as_str())];
        (200, http::response(200, &headers, body.as_bytes()), body)
    }
}
