//! Logs never hold a request up, and say what was dropped.
#![allow(clippy::unwrap_used)]

use std::io::{self, Write};
use std::sync::{self, mpsc};

use yucca_fleet::journal;

/// A writer that stands still until it is let go.
struct Gate {
    open: mpsc::Receiver<()>,
    written: sync::Arc<sync::Mutex<Vec<u8>>>,
    done: mpsc::Sender<()>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is gone the gate stays open.
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
fn a_writer_that_stands_still_holds_nothing_up() {
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
    // The queue has room again at some time after the gate opened.
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
    let told: u64 = text
        .lines()
        .filter_map(|line| {
            line.strip_prefix("log dropped=")?
                .split(' ')
                .next()?
                .parse::<u64>()
                .ok()
        })
        .sum();
    assert_eq!(lines as u64 + told, 100, "{text}");
    assert!(told > 90);
}
