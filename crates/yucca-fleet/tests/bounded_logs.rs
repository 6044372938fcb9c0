//! Logging never blocks, and the number of dropped lines is logged.
#![allow(clippy::unwrap_used)]

use std::io::{self, Write};
use std::sync::{self, mpsc};

use yucca_fleet::journal;

/// Writer that blocks until it is released.
struct Gate {
    open: mpsc::Receiver<()>,
    written: sync::Arc<sync::Mutex<Vec<u8>>>,
    done: mpsc::Sender<()>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, the gate stays open.
        self.open.recv().ok();
        self.written.lock().unwrap().extend_from_slice(bytes);
        if bytes.ends_with(b"last\n") {
            self.done.send(()).ok();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_writer_does_not_block_logging() {
    let (open, gate) = mpsc::channel();
    let (done, finished) = mpsc::channel();
    let written = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let out = Gate {
        open: gate,
        written: written.clone(),
        done,
    };
    let queue = journal::Queue::new(out, 4);
    for number in 0..100 {
        queue.push(format!("line {number}\n").into_bytes());
    }
    drop(open);
    // The queue has room again some time after the gate opened.
    while !String::from_utf8_lossy(&written.lock().unwrap()).contains("line 3") {
        std::thread::yield_now();
    }
    queue.push(b"last\n".to_vec());
    finished.recv().unwrap();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    let dropped: u64 = text
        .lines()
        .filter_map(|line| {
            line.strip_prefix("log dropped=")?
                .split(' ')
                .next()?
                .parse::<u64>()
                .ok()
        })
        .sum();
    assert_eq!(lines as u64 + dropped, 100, "{text}");
    assert!(dropped > 90);
}
