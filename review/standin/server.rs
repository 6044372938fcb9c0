//! Servers, which hold keys by leases if their service is divided by key.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::{Record, http, json, platform};

/// Maximum size of the answer to a heartbeat, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;

const KEYS: usize = 1 << 16;
const SLOTS: usize = 3;
const QUEUE: usize = 12;
const DRAIN: Duration = Duration::from_millis(2_500);

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub keyed: bool,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub work: Duration,
    /// Idle time of a connection, as stated in answers, in seconds.
    pub idle_s: u64,
}

#[derive(Default)]
struct State {
    /// Fencing token of each held key; 0 if it is not held.
    holds: Vec<u64>,
    /// Highest token seen for each key.
    seen: Vec<u64>,
    until: Option<Instant>,
    /// Number of requests at work by key.
    working: HashMap<u16, usize>,
    /// Keys that are to be released, with their tokens, once nothing works on them.
    leaving: HashMap<u16, u64>,
    released: Vec<(u16, u16, String)>,
    sequence: u64,
    draining: bool,
    drained_at: Option<Instant>,
}

pub struct Server {
    pub settings: Settings,
    address: SocketAddr,
    born: u128,
    controls: Vec<SocketAddr>,
    state: Mutex<State>,
    busy: AtomicUsize,
    slots: Mutex<usize>,
    freed: std::sync::Condvar,
    pub gone: AtomicBool,
    ran: Mutex<Vec<String>>,
    /// Open connections by number, which end with a crash.
    open: Mutex<HashMap<usize, TcpStream>>,
    accepted: AtomicUsize,
    pub oversize: AtomicUsize,
    pub largest: AtomicUsize,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        settings: Settings,
        controls: Vec<SocketAddr>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((settings.ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            born: born.map_or(0, |since| since.as_millis()),
            settings,
            controls,
            state: Mutex::new(State {
                holds: vec![0; KEYS],
                seen: vec![0; KEYS],
                ..State::default()
            }),
            busy: AtomicUsize::new(0),
            slots: Mutex::new(SLOTS),
            freed: std::sync::Condvar::new(),
            gone: AtomicBool::new(false),
            ran: Mutex::default(),
            open: Mutex::default(),
            accepted: AtomicUsize::new(0),
            oversize: AtomicUsize::new(0),
            largest: AtomicUsize::new(0),
            record: record.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        Ok(server)
    }

    /// Announces that the server leaves; it exits some time after that is acknowledged.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.say("drains");
    }

    /// Ends at once: it accepts no connection any more, and all that it has end.
    pub fn crash(&self) {
        self.say("crashes");
        self.gone.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then closes the listener.
        TcpStream::connect(self.address).ok();
        for stream in self.open.lock().unwrap().values() {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// Returns the number of keys that it holds.
    pub fn keys(&self) -> usize {
        let state = self.state.lock().unwrap();
        let live = state.until.is_some_and(|until| Instant::now() < until);
        if !live {
            return 0;
        }
        state.holds.iter().filter(|token| **token > 0).count()
    }

    /// Returns the ids of the requests that it ran.
    pub fn ran_ids(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }

    fn say(&self, text: &str) {
        self.record
            .line(&format!("server {}: {text}", self.settings.id));
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.is_gone() {
                return;
            }
            if let Ok(stream) = stream {
                let server = self.clone();
                thread::spawn(move || server.serve(stream));
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let number = self.accepted.fetch_add(1, Ordering::Relaxed);
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().insert(number, copy);
        }
        self.answer_all(stream);
        self.open.lock().unwrap().remove(&number);
    }

    fn answer_all(&self, stream: TcpStream) {
        let mut connection = http::Connection::new(stream);
        let idle = Duration::from_secs(10);
        while let Ok(Some(request)) = connection.read(Some(Instant::now() + idle)) {
            if self.is_gone() {
                return;
            }
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let (status, run) = self.handle(&request, &id);
            let mut headers = vec![
                ("X-Request-Id", id.clone()),
                ("X-Instance-Id", self.settings.id.clone()),
                ("Keep-Alive", format!("timeout={}", self.settings.idle_s)),
            ];
            let mut body = String::new();
            if run {
                headers.push(("X-Response-Signature", format!("{}.{id}", self.settings.id)));
                body = format!("{} ran {id}", self.settings.id);
            } else {
                headers.push(("X-Not-Executed", "1".to_owned()));
            }
            let first = format!("HTTP/1.1 {status} -");
            if connection.write(&first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and whether the request ran.
    fn handle(&self, request: &http::Message, id: &str) -> (u16, bool) {
        if request.target() == "/health" {
            return (200, false);
        }
        let expected = request.header("x-expected-instance");
        if id.is_empty() {
            return (400, false);
        }
        if expected.is_some_and(|expected| expected != self.settings.id) {
            return (421, false);
        }
        let key = request
            .header("x-shard-key")
            .and_then(|key| key.parse().ok());
        let key: Option<u16> = key.filter(|_| self.settings.keyed);
        if self.settings.keyed && !key.is_some_and(|key| self.begin(key)) {
            return (421, false);
        }
        if self.busy.fetch_add(1, Ordering::Relaxed) >= SLOTS + QUEUE {
            self.busy.fetch_sub(1, Ordering::Relaxed);
            if let Some(key) = key {
                self.end(key);
            }
            return (503, false);
        }
        let mut free = self.slots.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        self.ran.lock().unwrap().push(id.to_owned());
        self.say(&format!("runs {id} key={key:?}"));
        thread::sleep(self.settings.work);
        *self.slots.lock().unwrap() += 1;
        self.freed.notify_one();
        self.busy.fetch_sub(1, Ordering::Relaxed);
        let held = key.is_none_or(|key| self.end(key));
        (if held { 200 } else { 500 }, true)
    }

    /// Begins a request on a key. Returns whether it is held.
    fn begin(&self, key: u16) -> bool {
        let mut state = self.state.lock().unwrap();
        let live = state.until.is_some_and(|until| Instant::now() < until);
        if !live || state.holds[usize::from(key)] == 0 {
            return false;
        }
        *state.working.entry(key).or_default() += 1;
        true
    }

    /// Ends a request on a key. Returns whether its lease still runs.
    fn end(&self, key: u16) -> bool {
        let mut state = self.state.lock().unwrap();
        if let Some(count) = state.working.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                state.working.remove(&key);
            }
        }
        state.until.is_some_and(|until| Instant::now() < until)
    }

    fn beat(&self) {
        let mut next = 0;
        let mut named: Option<SocketAddr> = None;
        let path = format!("/yuccahill/Instances.Heartbeat/{}", self.settings.id);
        while !self.is_gone() {
            let (body, sent_releases) = self.heartbeat();
            let sent = Instant::now();
            let address = named.unwrap_or(self.controls[next % self.controls.len()]);
            let second = Duration::from_secs(1);
            let answer = http::call(address, "POST", &path, &body, second);
            let size = answer.as_ref().map_or(0, |answer| answer.body.len());
            let status = answer.as_ref().map_or(0, http::Message::status);
            let mut releasing = false;
            if (200..300).contains(&status) && size <= MAX_ANSWER_BYTES {
                let text = String::from_utf8_lossy(&answer.unwrap().body).into_owned();
                named = json::string(&text, "heartbeat-url").and_then(|url| url.parse().ok());
                releasing = self.apply(&text, sent, sent_releases);
                self.largest.fetch_max(size, Ordering::Relaxed);
            } else {
                if size > MAX_ANSWER_BYTES {
                    self.oversize.fetch_add(1, Ordering::Relaxed);
                    self.largest.fetch_max(size, Ordering::Relaxed);
                }
                self.say(&format!(
                    "heartbeat to {address} not acknowledged: status {status}, {size} bytes"
                ));
                named = None;
                next += 1;
            }
            let left = self.state.lock().unwrap().drained_at;
            if left.is_some_and(|at| Instant::now() >= at + DRAIN) {
                let path = format!("/yuccahill/Instances.Deregister/{}", self.settings.id);
                let body = format!("{{\"born\":{}}}", self.born);
                http::call(address, "POST", &path, &body, second).ok();
                self.say("exits");
                self.gone.store(true, Ordering::Relaxed);
                TcpStream::connect(self.address).ok();
                return;
            }
            let pause = if releasing {
                0.05
            } else if size > MAX_ANSWER_BYTES || status == 0 {
                0.1
            } else {
                platform::HEARTBEAT_S
            };
            thread::sleep(Duration::from_secs_f64(pause));
        }
    }

    /// Returns the next heartbeat, and the number of releases in it.
    fn heartbeat(&self) -> (String, usize) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        state.sequence += 1;
        if state.until.is_some_and(|until| Instant::now() >= until) {
            state.holds.fill(0);
            state.leaving.clear();
            state.until = None;
        }
        // Releases keys on which nothing is at work any more.
        let mut free: Vec<u16> = state.leaving.keys().copied().collect();
        free.retain(|key| !state.working.contains_key(key));
        free.sort_unstable();
        for key in free {
            state.leaving.remove(&key);
            match state.released.last_mut() {
                Some(last) if last.1.checked_add(1) == Some(key) => last.1 = key,
                _ => {
                    let handover = format!("{:016x}", 0x5c0e_7a21_0000_0000 + state.sequence);
                    state.released.push((key, key, handover));
                }
            }
        }
        let mut tokens = state.holds.clone();
        for (key, token) in &state.leaving {
            tokens[usize::from(*key)] = *token;
        }
        let rows: Vec<String> = runs(&tokens)
            .into_iter()
            .map(|(from, to, token)| format!("[{from},{to},{token}]"))
            .collect();
        let released: Vec<String> = state
            .released
            .iter()
            .map(|(from, to, handover)| format!("[{from},{to},\"{handover}\"]"))
            .collect();
        let word = if state.draining { "draining" } else { "ready" };
        let text = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"{word}","warmup-left-s":0,"sequence":{},"born":{},"holds":[{}],"released":[{}]}}"#,
            self.settings.service,
            self.address,
            self.settings.zone,
            state.sequence,
            self.born,
            rows.join(","),
            released.join(","),
        );
        (text, released.len())
    }

    /// Applies an acknowledgement. Returns whether there is something to release.
    fn apply(&self, text: &str, sent: Instant, sent_releases: usize) -> bool {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        state.released.drain(..sent_releases);
        if state.draining && state.drained_at.is_none() {
            state.drained_at = Some(Instant::now());
        }
        let (Some(rows), Some(hold)) = (json::rows(text), json::number(text, "hold-s")) else {
            return !state.released.is_empty();
        };
        let mut next = vec![0; KEYS];
        for (from, to, token) in rows {
            let keys = usize::from(from)..=usize::from(to);
            if state.seen[keys.clone()].iter().any(|seen| *seen > token) {
                continue;
            }
            state.seen[keys.clone()].fill(token);
            next[keys].fill(token);
        }
        for (key, (before, after)) in state.holds.iter().zip(&next).enumerate() {
            if *before > 0 && *after == 0 {
                state.leaving.insert(key as u16, *before);
            }
        }
        state.holds = next;
        state.until = Some(sent + Duration::from_secs_f64(hold));
        !state.leaving.is_empty() || !state.released.is_empty()
    }
}

/// Returns the runs of equal tokens that are not 0.
fn runs(tokens: &[u64]) -> Vec<(usize, usize, u64)> {
    let mut rows: Vec<(usize, usize, u64)> = Vec::new();
    for (key, token) in tokens.iter().enumerate() {
        match rows.last_mut() {
            Some(last) if last.1 + 1 == key && last.2 == *token => last.1 = key,
            _ if *token > 0 => rows.push((key, key, *token)),
            _ => {}
        }
    }
    rows
}
