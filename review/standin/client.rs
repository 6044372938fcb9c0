//! Clients, which send requests at a steady rate, each on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Record, http};

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    pub name: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub keyed: bool,
    /// Whether all requests have the same path.
    pub same: bool,
    pub deadline: Duration,
    pub per_second: f64,
}

/// A request with its retry: when it was first sent, and the last answer.
#[derive(Debug, Clone)]
pub struct Sample {
    pub kind: &'static str,
    pub sent: Instant,
    pub status: u16,
}

/// Sends requests until it is dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a number that looks random and depends on a counter alone.
pub fn mixed(number: u64) -> u64 {
    let mut x = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Clients {
    pub fn start(kinds: &[Kind], fronts: &[SocketAddr], record: &Arc<Record>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let samples = Arc::new(Mutex::new(Vec::new()));
        for kind in kinds {
            let (kind, fronts, record) = (kind.clone(), fronts.to_vec(), record.clone());
            let (stop, samples) = (stop.clone(), samples.clone());
            thread::spawn(move || {
                let start = Instant::now();
                for count in 0_u32.. {
                    let at = start + Duration::from_secs_f64(f64::from(count) / kind.per_second);
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let (kind, fronts, record) = (kind.clone(), fronts.clone(), record.clone());
                    let samples = samples.clone();
                    thread::spawn(move || {
                        let sent = Instant::now();
                        let status = request(&kind, &fronts, sent, &record);
                        samples.lock().unwrap().push(Sample {
                            kind: kind.name,
                            sent,
                            status,
                        });
                    });
                }
            });
        }
        Self { stop, samples }
    }

    pub fn samples(&self) -> Vec<Sample> {
        self.samples.lock().unwrap().clone()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Sends a request, and once more if it is refused and there is time. Returns the last status.
fn request(kind: &Kind, fronts: &[SocketAddr], sent: Instant, record: &Record) -> u16 {
    let key = mixed(NEXT.fetch_add(1, Ordering::Relaxed)) as u16;
    let until = sent + kind.deadline;
    let mut status = 0;
    for attempt in 0..2 {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", mixed(number));
        let front = fronts[mixed(number ^ 0xabcd) as usize % fronts.len()];
        let answer = exchange(kind, front, key, &id, until);
        status = answer.as_ref().map_or(0, http::Message::status);
        let after = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after"));
        let after: Option<f64> = after.and_then(|after| after.parse().ok());
        record.line(&format!(
            "client {}: {id} key={key} attempt={attempt} to {front}: {status} retry-after={after:?}",
            kind.name
        ));
        let left = until.saturating_duration_since(Instant::now());
        let pause = Duration::from_secs_f64(after.unwrap_or(0.0)).min(left / 3);
        let refused = matches!(status, 408 | 421 | 429 | 503);
        if !refused || left < Duration::from_millis(100) {
            break;
        }
        thread::sleep(pause);
    }
    status
}

fn exchange(
    kind: &Kind,
    front: SocketAddr,
    key: u16,
    id: &str,
    until: Instant,
) -> Option<http::Message> {
    let left = until.saturating_duration_since(Instant::now());
    let mut connection = http::Connection::open(front, left.min(Duration::from_secs(1))).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    let mut headers = vec![
        ("Host", kind.host.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", left.as_millis().to_string()),
        ("Connection", "close".to_owned()),
    ];
    if kind.keyed {
        headers.push(("X-Shard-Key", key.to_string()));
    }
    let name = if kind.same {
        String::new()
    } else {
        key.to_string()
    };
    let first = format!("{} {}{name} HTTP/1.1", kind.method, kind.path);
    connection.write(&first, &headers, b"").ok()?;
    connection.read(Some(until)).ok()?
}

/// How a request on a kept connection ended.
#[derive(Debug, Clone)]
pub struct End {
    pub id: String,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
}

/// Clients that send one request after the other, each on its own connection, which it keeps.
pub struct Kept {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<End>>>,
}

impl Kept {
    /// Starts `count` clients of each front.
    pub fn start(kind: &Kind, fronts: &[SocketAddr], count: usize, record: &Arc<Record>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |front: &SocketAddr| {
            let (kind, front, record, stop) = (kind.clone(), *front, record.clone(), stop.clone());
            thread::spawn(move || {
                let mut ends = Vec::new();
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", mixed(NEXT.fetch_add(1, Ordering::Relaxed)));
                    match keep(&kind, front, &id, &mut connection) {
                        Some(status) => {
                            record
                                .line(&format!("client {}: {id} to {front}: {status}", kind.name));
                            ends.push(End { id, status });
                        }
                        None => thread::sleep(Duration::from_millis(100)),
                    }
                }
                ends
            })
        };
        let each = fronts
            .iter()
            .flat_map(|front| std::iter::repeat_n(front, count));
        let threads = each.map(start).collect();
        Self { stop, threads }
    }

    /// Stops the clients and returns how their requests ended.
    pub fn stop(self) -> Vec<End> {
        self.stop.store(true, Ordering::Relaxed);
        let ends = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default());
        ends.flatten().collect()
    }
}

/// Sends a request on the kept connection, or a new one. Returns `None` if it was not sent.
fn keep(
    kind: &Kind,
    front: SocketAddr,
    id: &str,
    kept: &mut Option<http::Connection>,
) -> Option<u16> {
    if kept.is_none() {
        *kept = http::Connection::open(front, Duration::from_secs(1)).ok();
    }
    let until = Instant::now() + kind.deadline;
    let headers = head(kind, id);
    let first = format!("{} {}kept HTTP/1.1", kind.method, kind.path);
    let connection = kept.as_mut()?;
    if connection.write(&first, &headers, b"body").is_err() {
        *kept = None;
        return None;
    }
    let answer = connection.read(Some(until)).ok().flatten();
    let status = answer.as_ref().map_or(0, http::Message::status);
    let closes = answer.is_none_or(|answer| answer.header("connection") == Some("close"));
    if closes {
        *kept = None;
    }
    Some(status)
}

fn head(kind: &Kind, id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", kind.host.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", kind.deadline.as_millis().to_string()),
    ]
}

/// Sends a request with a body of this size. Returns the status, or 0 without an answer.
pub fn upload(kind: &Kind, front: SocketAddr, size: usize) -> u16 {
    let id = format!("{:016x}", mixed(NEXT.fetch_add(1, Ordering::Relaxed)));
    let until = Instant::now() + kind.deadline * 2;
    let exchange = || -> std::io::Result<u16> {
        let mut connection = http::Connection::open(front, Duration::from_secs(1))?;
        let first = format!("{} {}large HTTP/1.1", kind.method, kind.path);
        connection.write(&first, &head(kind, &id), &vec![7; size])?;
        let answer = connection.read(Some(until))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}
